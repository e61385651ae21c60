/** Everything that the reducer asks of the outside. Effects are data. */
import type { ConfigSnapshot, Outcome, TableOp } from 'reedlug-coordination';
import type { CloudRequest, DesiredEngineState } from './order.js';
import type { PeerMessage, RelayedAnswer } from './peer.js';
import type { OperatorAnswer } from './plan.js';
import type { KvTicket, Reason } from './request.js';

/** Timing of a request, for the histograms. */
export interface RequestTimes {
  waitedMs: number | undefined;
  firstTokenMs: number | undefined;
  wholeMs: number;
}

/** An effect. */
export type Effect =
  | {
      type: 'sendAttempt';
      attemptId: string;
      requestId: string;
      serverId: string;
      /** Tokens of the answer that the caller has; the server goes on after them. */
      resumeOffset: number;
      kvTicket: KvTicket | undefined;
      timeoutMs: number;
    }
  | { type: 'cancelAttempt'; attemptId: string; serverId: string }
  | { type: 'exportKv'; attemptId: string; serverId: string }
  | {
      type: 'moveCache';
      affinityHash: number;
      tokens: number;
      serverId: string;
      targetServerId: string;
    }
  | { type: 'deliverTokens'; requestId: string; offset: number; tokens: readonly string[] }
  | {
      type: 'finishRequest';
      requestId: string;
      outcome: Outcome;
      reason: Reason;
      retryAfterMs: number | undefined;
      /** The attempt whose answer is the caller's, where a plain service answered. */
      attemptId: string | undefined;
      status: number | undefined;
      promptTokens: number;
      completionTokens: number;
      cachedTokens: number;
      times: RequestTimes;
      /** The request that this one followed, where it did. */
      sourceRequestId: string | undefined;
      /** Answer of a plain service that another box relayed. */
      answer: RelayedAnswer | undefined;
    }
  | { type: 'requestTable'; opId: string; op: TableOp }
  | { type: 'writeSnapshot'; snapshot: ConfigSnapshot }
  | { type: 'sendPeer'; boxId: string; message: PeerMessage }
  | { type: 'probeServer'; serverId: string }
  | {
      type: 'sendOrder';
      orderId: string;
      serverId: string;
      wanted: DesiredEngineState;
      fence: number;
      validForMs: number;
    }
  | { type: 'askCloud'; askId: string; ask: CloudRequest }
  | { type: 'answerOperator'; askId: string; answer: OperatorAnswer }
  | { type: 'forgetRequest'; requestId: string }
  | { type: 'stopped' }
  | { type: 'log'; event: string; fields: Readonly<Record<string, string | number | boolean>> };
