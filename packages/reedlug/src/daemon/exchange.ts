/** The open connection of a caller, and the payload that is sent for its request. */
import type { Effect } from 'reedlug-decisions';
import type { ServiceAnswer } from '../backends/serviceClient.js';

/** The effect that ends a request. */
export type FinishEffect = Extract<Effect, { type: 'finishRequest' }>;

/** Receives the answer to a request and writes it to the caller's connection. */
export interface Exchange {
  onTokens: (offset: number, tokens: readonly string[]) => void;
  /** `answer` is set only for requests to plain services. */
  onFinish: (finish: FinishEffect, answer: ServiceAnswer | undefined) => void;
}

/** The content of a request that is sent to backend servers. */
export type Payload =
  | { kind: 'prompt'; prompt: string }
  | {
      kind: 'call';
      method: string;
      path: string;
      headers: Record<string, string>;
      body: Buffer | undefined;
    };

/** Encodes a payload as text for the peer link. */
export function encodePayload(payload: Payload): string {
  if (payload.kind === 'prompt') return JSON.stringify(payload);
  return JSON.stringify({ ...payload, body: payload.body?.toString('latin1') });
}

/** Decodes a payload from the peer link. Returns undefined if the text is not valid JSON. */
export function decodePayload(text: string): Payload | undefined {
  try {
    const value = JSON.parse(text) as Payload & { body?: string };
    if (value.kind === 'prompt') return value;
    const body = value.body === undefined ? undefined : Buffer.from(value.body as string, 'latin1');
    return { ...value, body };
  } catch {
    return undefined;
  }
}
