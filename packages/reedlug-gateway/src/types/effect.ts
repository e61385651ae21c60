/** Everything that the reducer asks of the outside. Effects are data. */
import type { TableOp } from 'reedlug-coordination';
import type { TablePurpose } from './event.js';
import type { PeerAddress, PeerDatagram } from './peer.js';
import type { HostPort } from './server.js';

/** What the platform is asked under a fence. */
export type CloudCall =
  /** Requests begun in a window, by workspace. */
  | { kind: 'reportUsage'; window: number; counts: Readonly<Record<string, number>> }
  /** The number of engines of one kind wanted in a zone. */
  | { kind: 'orderEngines'; service: string; zone: string; wanted: number; reclaimable: boolean };

/** What a server is told with an attempt. */
export interface SendOrder {
  serverId: string;
  address: HostPort;
  /** Time left, in ms. */
  deadlineMs: number;
  urgency: number | undefined;
  workspace: string | undefined;
  /** Go on after this event; undefined to send the caller's own field on. */
  resumeAfterEventId: number | undefined;
  /** True when the connection must be fresh or just used, since a lost send cannot be repeated. */
  needsFreshConnection: boolean;
}

/** A value of a log field. */
export type LogField = string | number | boolean;

/** An effect. */
export type Effect =
  | { type: 'send'; exchangeId: number; attemptId: number; order: SendOrder; streaming: boolean }
  /** Closes the connection of an attempt, so that its server stops. */
  | { type: 'cancelAttempt'; attemptId: number }
  /** Hands the attempt's answer to the caller: a whole one, or the head of a stream that goes on as it comes. */
  | { type: 'relay'; exchangeId: number; attemptId: number; part: 'whole' | 'streamHead' }
  /** Answers the caller with a status of this box. */
  | {
      type: 'refuse';
      exchangeId: number;
      requestId: string;
      status: number;
      reason: string;
      retryAfterMs: number | undefined;
    }
  /** Ends the caller's connection in the middle of an answer. */
  | { type: 'cutCaller'; exchangeId: number }
  /** Opens a connection to a server with lost sends, and closes it. */
  | { type: 'probeServer'; life: number; address: HostPort }
  | { type: 'requestTable'; purpose: TablePurpose; op: TableOp; sentAtMs: number }
  | { type: 'callCloud'; callId: number; call: CloudCall; fence: number }
  /** Reads the store's collections anew: it came back from a copy. */
  | { type: 'readStoreAgain' }
  | { type: 'sendPeers'; message: PeerDatagram; to: readonly HostPort[] }
  /** Asks a peer for its configuration, and for its registry where that is newer or changes of it were missed. */
  | { type: 'askPeer'; peer: HostPort; withServers: boolean }
  /** Enters a box into the store's list of boxes, or takes it off. */
  | { type: 'enterBox'; boxId: string; address: PeerAddress | undefined; holdsPart: boolean }
  | { type: 'stopped' }
  | { type: 'log'; event: string; fields: Readonly<Record<string, LogField>> };
