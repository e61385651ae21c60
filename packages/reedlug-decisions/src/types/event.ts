/** Events: the inputs of the reducer. All times are on the box's monotonic clock. */
import type { TableAnswer, ConfigSnapshot } from 'reedlug-coordination';
import type { CommandResult, EngineReport } from './order.js';
import type { PeerMessage } from './peer.js';
import type { OperatorRequest } from './plan.js';
import type { KvTicket, RefusalReason, RequestSpec } from './request.js';
import type { ServerSpec } from './settings.js';

/** An entry of the platform's box list, which may be out of date. */
export interface BoxListEntry {
  spec: ServerSpec;
  incarnation: number;
  leaving: boolean;
}

/** The variants of an event, without the time. */
export type EventBody =
  | { type: 'tick'; epochMs: number }
  | { type: 'requestArrived'; spec: RequestSpec }
  | { type: 'callerGone'; requestId: string }
  | {
      type: 'followAsked';
      followId: string;
      requestId: string;
      workspaceId: string;
      fromOffset: number;
    }
  | { type: 'attemptRefused'; attemptId: string; reason: RefusalReason }
  | { type: 'attemptProgress'; attemptId: string; offset: number; tokens: readonly string[] }
  | {
      type: 'attemptEnded';
      attemptId: string;
      totalTokens: number;
      cachedTokens: number;
      report: EngineReport | undefined;
    }
  | { type: 'attemptLost'; attemptId: string; reached: boolean }
  | { type: 'serviceAnswered'; attemptId: string; status: number }
  | {
      type: 'kvExported';
      attemptId: string;
      answer: { kind: 'done'; ticket: KvTicket } | { kind: 'refused' } | { kind: 'unknown' };
    }
  | { type: 'tableAnswered'; opId: string; answer: TableAnswer }
  | { type: 'snapshotRead'; snapshot: ConfigSnapshot | undefined }
  | { type: 'peerMessage'; from: string; message: PeerMessage }
  | { type: 'reclaimNoticed'; serverId: string; incarnation: number; leavesAtMs: number }
  | { type: 'boxReclaimNoticed'; leavesAtMs: number }
  | { type: 'boxListRead'; entries: readonly BoxListEntry[] }
  | { type: 'serverReported'; serverId: string; report: EngineReport | undefined }
  | { type: 'cacheChanged'; serverId: string; sequence: number; evicted: readonly number[] }
  | { type: 'cacheMoved'; affinityHash: number; serverId: string; tokens: number }
  | { type: 'orderAnswered'; orderId: string; answer: CommandResult }
  | { type: 'cloudAnswered'; askId: string; answer: CommandResult }
  | { type: 'operatorAsked'; askId: string; ask: OperatorRequest; epochMs: number }
  | { type: 'stopAsked' };

/** An event with its time on the box's monotonic clock, in ms. */
export type BoxEvent = EventBody & { nowMs: number };

/** The event of one type. */
export type EventOf<T extends EventBody['type']> = Extract<EventBody, { type: T }> & {
  nowMs: number;
};
