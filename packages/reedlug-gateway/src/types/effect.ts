/** Effects: side effects that the reducer requests, represented as data. */
import type { TableOp } from 'reedlug-coordination';
import type { TablePurpose } from './event.js';
import type { PeerAddress, PeerDatagram } from './peer.js';
import type { HostPort } from './server.js';

/** Calls to the platform, each made under a fencing token. */
export type CloudCall =
  /** Reports the requests started in a window, by workspace. */
  | { kind: 'reportUsage'; window: number; counts: Readonly<Record<string, number>> }
  /** Sets the wanted number of engines of one kind in a zone. */
  | { kind: 'orderEngines'; service: string; zone: string; wanted: number; reclaimable: boolean };

/** Parameters of an attempt that is sent to a server. */
export interface SendOrder {
  serverId: string;
  address: HostPort;
  /** Remaining time, in ms. */
  deadlineMs: number;
  urgency: number | undefined;
  workspace: string | undefined;
  /**
   * Event after which the server resumes the stream; undefined to forward the caller's own header
   * field.
   */
  resumeAfterEventId: number | undefined;
  /**
   * True if the connection must be new or recently used, because a lost send cannot be repeated.
   */
  needsFreshConnection: boolean;
}

/** A value of a log field. */
export type LogField = string | number | boolean;

/** A side effect that the reducer requests. */
export type Effect =
  | { type: 'send'; exchangeId: number; attemptId: number; order: SendOrder; streaming: boolean }
  /** The first event of an attempt need not wait for the listing of its version any longer. */
  | { type: 'listingEnded'; attemptId: number }
  /** Closes the connection of an attempt, so that its server stops working on it. */
  | { type: 'cancelAttempt'; attemptId: number }
  /**
   * Relays the attempt's answer to the caller: a complete answer, or the head of a stream whose
   * events follow as they arrive.
   */
  | {
      type: 'relay';
      exchangeId: number;
      attemptId: number;
      part: 'whole' | 'streamHead';
      routeName: string;
    }
  /** Answers the caller with an error status of this box. */
  | {
      type: 'refuse';
      exchangeId: number;
      requestId: string;
      status: number;
      reason: string;
      retryAfterMs: number | undefined;
    }
  /** Closes the caller's connection in the middle of an answer. */
  | { type: 'cutCaller'; exchangeId: number }
  /** Checks a server with lost attempts by opening and closing a connection. */
  | { type: 'probeServer'; life: number; serverId: string; address: HostPort }
  /** Checks by connections to some servers whether this box's links are up. */
  | { type: 'checkLinks' }
  | { type: 'requestTable'; purpose: TablePurpose; op: TableOp; sentAtMs: number }
  | { type: 'callCloud'; callId: number; call: CloudCall; fence: number }
  /** Reads the store's collections again after the store was restored from a backup. */
  | { type: 'readStoreAgain' }
  | { type: 'sendPeers'; message: PeerDatagram; to: readonly HostPort[] }
  /**
   * Requests the configuration of a peer if it has announced a newer version, and also its registry
   * if that is newer or changes of it were missed.
   */
  | { type: 'askPeer'; peer: HostPort; withServers: boolean; configurationVersion: number }
  /** Adds a box to the store's list of boxes, or removes it if `address` is undefined. */
  | { type: 'enterBox'; boxId: string; address: PeerAddress | undefined; holdsPart: boolean }
  | { type: 'stopped' }
  | { type: 'log'; event: string; fields: Readonly<Record<string, LogField>> };

/** An effect of one type. */
export type EffectOf<T extends Effect['type']> = Extract<Effect, { type: T }>;
