/**
 * Wire format of a tunnel: an HTTP CONNECT request on the peer link whose target is the
 * percent-encoded id of a server, never an address.
 */
import { ConnectOutcome } from '../../types/serverLink.js';

/** Names the box that asks, and the request for which it does. */
export const BOX_HEADER = 'x-box';
export const REQUEST_HEADER = 'x-request';
/** In a request: that its box reads frames; in the answer: that frames follow. Boxes without it are not connected. */
export const FRAMES_HEADER = 'x-frames';
export const FRAMES_VALUE = '1';
/** In a refusal: how the attempt to connect ended. */
export const OUTCOME_HEADER = 'x-outcome';
/** In a refusal: why the box did not try, for the logs. */
export const REASON_HEADER = 'x-reason';

/** Failures of an attempt to connect. */
export type ConnectFailure = Exclude<ConnectOutcome, 'opened'>;

/**
 * Failures as texts. A box says that a server refuses, or is silent, only if its own links are up; older boxes, which
 * name the failures differently, have not checked that.
 */
export const FAILURE_TEXTS: Readonly<Record<ConnectFailure, string>> = {
  [ConnectOutcome.refused]: 'serverRefused',
  [ConnectOutcome.silent]: 'serverSilent',
  [ConnectOutcome.unavailable]: 'unavailable',
};

/** Returns the failure that a refusal names. */
export function failureOf(value: unknown): ConnectFailure {
  switch (value) {
    case FAILURE_TEXTS.refused:
      return ConnectOutcome.refused;
    case FAILURE_TEXTS.silent:
      return ConnectOutcome.silent;
    default:
      return ConnectOutcome.unavailable;
  }
}

/** Decodes a percent-encoded text; undefined if it is malformed. */
export function decodeText(encoded: string | undefined): string | undefined {
  try {
    return decodeURIComponent(encoded ?? '');
  } catch {
    // Invalid percent-encoding names nothing.
    return undefined;
  }
}
