/** Validates an intent. Each fault says what would be valid. */
import { RequestClass } from '../types/settings.js';
import type { Intent } from '../types/plan.js';
import type { BoxState } from '../state.js';
import { limitsOf } from '../slices/limits.js';
import { itemName } from './items.js';

/** Maximum duration of a pool move, in ms. */
const MAX_MOVE_MS = 90 * 24 * 3600 * 1000;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Returns all faults of an intent against the current configuration. */
export function intentFaults(state: BoxState, intent: Intent, epochMs: number): string[] {
  switch (intent.kind) {
    case 'createWorkspace':
      return [
        ...nameFaults('workspaceId', intent.workspaceId),
        ...limitFaults(intent),
        ...faultIf(
          !SHA256_PATTERN.test(intent.keySha256),
          'keySha256 must be the SHA-256 of the key in hex',
        ),
        ...faultIf(
          limitsOf(state, intent.workspaceId) !== undefined,
          `workspace ${intent.workspaceId} exists already; use setLimits to change it`,
        ),
      ];
    case 'createService':
      return [
        ...nameFaults('service', intent.service),
        ...faultIf(
          state.config.items.has(itemName.service(intent.service)),
          `service ${intent.service} exists already`,
        ),
      ];
    case 'setPriority':
      return [...workspaceFaults(state, intent.workspaceId), ...classFaults(intent.requestClass)];
    case 'setLimits':
      return [...workspaceFaults(state, intent.workspaceId), ...limitFaults(intent)];
    case 'movePool':
      return movePoolFaults(state, intent, epochMs);
    case 'keepOffReclaimable':
      return [...classFaults(intent.requestClass), ...windowFaults(intent, epochMs)];
    case 'setEngine':
      return [
        ...faultIf(
          !state.servers.has(intent.serverId),
          `engine ${intent.serverId} is not known; see reedlug status`,
        ),
        ...faultIf(intent.wanted.model === '', 'wanted.model must be named'),
      ];
    case 'haltMove':
      return [
        ...faultIf(
          !state.config.items.has(itemName.poolMove(intent.model)),
          `pool ${intent.model} is not on a move; see reedlug plans`,
        ),
        ...faultIf(!(intent.atShare >= 0 && intent.atShare <= 1), 'atShare must be from 0 to 1'),
      ];
    case 'restore':
      return faultIf(intent.changes.length === 0, 'restore names no change');
  }
}

function faultIf(condition: boolean, fault: string): string[] {
  return condition ? [fault] : [];
}

function nameFaults(field: string, name: string): string[] {
  return faultIf(
    !NAME_PATTERN.test(name),
    `${field} must be 1 to 63 of a-z, 0-9 and -, not "${name}"`,
  );
}

function limitFaults(limits: {
  requestsPerSecond: number;
  burst: number;
  maxQueued: number;
}): string[] {
  return [
    ...faultIf(!(limits.requestsPerSecond > 0), 'requestsPerSecond must be above 0'),
    ...faultIf(!(limits.burst >= 1), 'burst must be 1 or more'),
    ...faultIf(!(limits.maxQueued >= 1), 'maxQueued must be 1 or more'),
  ];
}

function workspaceFaults(state: BoxState, workspaceId: string): string[] {
  return faultIf(
    limitsOf(state, workspaceId) === undefined,
    `workspace ${workspaceId} does not exist; create it first`,
  );
}

function classFaults(requestClass: string): string[] {
  return faultIf(
    !Object.hasOwn(RequestClass, requestClass),
    `requestClass must be urgent or patient, not "${requestClass}"`,
  );
}

function windowFaults(
  window: { startsAtEpochMs: number; endsAtEpochMs: number },
  epochMs: number,
): string[] {
  return [
    ...faultIf(window.endsAtEpochMs <= window.startsAtEpochMs, 'the end must lie after the start'),
    ...faultIf(window.endsAtEpochMs <= epochMs, 'the end has passed already'),
  ];
}

function movePoolFaults(
  state: BoxState,
  intent: Extract<Intent, { kind: 'movePool' }>,
  epochMs: number,
): string[] {
  const sites = new Set(state.settings.zones.map((zone) => zone.site));
  const known = [...sites].sort().join(', ');
  const spanMs = intent.endsAtEpochMs - intent.startsAtEpochMs;
  return [
    ...faultIf(!state.serversByPool.has(intent.model), `no engine serves model ${intent.model}`),
    ...faultIf(!sites.has(intent.toSite), `site ${intent.toSite} is not known; known: ${known}`),
    ...faultIf(
      !Number.isInteger(intent.steps) || intent.steps < 1 || intent.steps > 100,
      'steps must be a whole number from 1 to 100',
    ),
    ...windowFaults(intent, epochMs),
    ...faultIf(spanMs > MAX_MOVE_MS, 'a move may take 90 days at most'),
  ];
}
