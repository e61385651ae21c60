/** Effects: the actions that the reducer requests from the daemon, described as data. */
import type { ConfigSnapshot, Outcome, TableOp } from 'reedlug-coordination';
import type { CloudRequest, DesiredEngineState } from './order.js';
import type { PeerMessage, RelayedAnswer } from './peer.js';
import type { OperatorAnswer } from './plan.js';
import type { KvTicket, Reason } from './request.js';

/** Timing of a request, for the latency histograms. */
export interface RequestTimes {
  waitedMs: number | undefined;
  firstTokenMs: number | undefined;
  wholeMs: number;
}

/** One action that the daemon carries out after an event. */
export type Effect =
  | {
      type: 'sendAttempt';
      attemptId: string;
      requestId: string;
      serverId: string;
      /** Number of answer tokens that the caller already has; the server continues after them. */
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
      /** The attempt whose answer goes to the caller; undefined unless a server answered. */
      attemptId: string | undefined;
      status: number | undefined;
      promptTokens: number;
      completionTokens: number;
      cachedTokens: number;
      times: RequestTimes;
      /** The request that this one followed; undefined if it followed none. */
      sourceRequestId: string | undefined;
      /** Answer of a plain service that another box relayed; undefined otherwise. */
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
