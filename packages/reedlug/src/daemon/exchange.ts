/** A caller's open connection, as the daemon answers it. */
import type { Effect } from 'reedlug-decisions';
import type { ServiceAnswer } from '../backends/serviceClient.js';

/** The effect that ends a request. */
export type FinishEffect = Extract<Effect, { type: 'finishRequest' }>;

/** What a caller's connection does with an answer. */
export interface Exchange {
  onTokens: (offset: number, tokens: readonly string[]) => void;
  /** `answer` is the answer of a plain service, where there is one. */
  onFinish: (finish: FinishEffect, answer: ServiceAnswer | undefined) => void;
}

/** What is sent to backend servers for a request. */
export type Payload =
  | { kind: 'prompt'; prompt: string }
  | {
      kind: 'call';
      method: string;
      path: string;
      headers: Record<string, string>;
      body: Buffer | undefined;
    };

/** A payload as text, for the peer link. */
export function encodePayload(payload: Payload): string {
  if (payload.kind === 'prompt') return JSON.stringify(payload);
  return JSON.stringify({ ...payload, body: payload.body?.toString('latin1') });
}

/** A payload from the peer link; undefined when the text is none. */
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
