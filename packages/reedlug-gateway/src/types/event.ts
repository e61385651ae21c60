/** Events that the reducer handles. */
import type { TableAnswer } from 'reedlug-coordination';
import type { Configuration } from './configuration.js';
import type { CrashSuspectsMessage } from './crashSuspect.js';
import type { AnswerVerdict, HeadFacts, RequestFacts } from './request.js';
import type { RolloutOrder } from './rollout.js';
import type { AnswerStatements, ServerStatementsMessage } from './serverStatement.js';
import type { HostPort, ServerChange } from './server.js';
import type { ThreadLoad } from './threadLoad.js';
import type { ConnectionTry } from './serverLink.js';
import type { FeedContact, StoreFeed } from './storeFeed.js';
import type {
  StreamStartAnsweredMessage,
  StreamStartAskedMessage,
  StreamStartsMessage,
  VersionsListedMessage,
} from './streamVersion.js';
import type {
  PeerAddress,
  PeerMessage,
  UnitsAskedMessage,
  UnitsLentMessage,
  UnitsReturnedMessage,
  UsageMessage,
} from './peer.js';

/** Outcome of a call to the cloud. */
export type CloudOutcome = 'done' | 'fenced' | 'unavailable' | 'refused' | 'unknown';

/** Whether a server's port accepted a connection, refused it, or did not respond. */
export type ProbeOutcome = 'accepted' | 'refused' | 'silent';

/** An event without its timestamps. */
export type EventBody =
  /**
   * `load` is undefined where it is not measured. `openExchanges` is the number of requests that callers are sending, or
   * whose answers have not left this box; 0 if omitted.
   */
  | { type: 'tick'; load?: ThreadLoad; openExchanges?: number }
  /**
   * A request was read, `heldMs` ago. `lateMs` is how late the thread was by then. Both are 0 if omitted.
   */
  | {
      type: 'requestArrived';
      exchangeId: number;
      facts: RequestFacts;
      lateMs?: number;
      heldMs?: number;
    }
  /** A request could not be handed on in time, since the box was behind. */
  | { type: 'requestHeldTooLong'; exchangeId: number; facts: HeadFacts }
  /** The end of a caller's connection was read; `lateMs` as above. */
  | { type: 'callerGone'; exchangeId: number; lateMs?: number }
  /** An attempt to open a connection to a server ended. */
  | { type: 'connectionTried'; attempt: ConnectionTry }
  /** A peer's request to be connected to a server, and the end of such a connection. */
  | { type: 'tunnelRefused'; serverId: string; boxId: string; requestId: string; reason: string }
  | { type: 'tunnelOpened'; serverId: string; boxId: string; requestId: string; tookMs: number }
  | {
      type: 'tunnelClosed';
      serverId: string;
      boxId: string;
      requestId: string;
      /** Bytes forwarded in both directions. */
      bytes: number;
      openMs: number;
    }
  /** The attempt failed before any byte of it left this box. */
  | { type: 'attemptNotSent'; exchangeId: number; attemptId: number; reason: string }
  /** The head of a server's answer arrived, with the server's statements. */
  | {
      type: 'answerBegun';
      exchangeId: number;
      attemptId: number;
      statements: AnswerStatements;
    }
  /** A complete plain answer arrived, or the head and first event of a stream. */
  | {
      type: 'attemptAnswered';
      exchangeId: number;
      attemptId: number;
      verdict: AnswerVerdict;
      status: number;
      /** True if the answer has neither a length nor chunks, so that it ends with its connection. */
      endsWithConnection?: boolean;
      /** True if the thread was behind, so that the answer may have arrived long before. */
      isReadLate?: boolean;
    }
  /** Complete events of a stream were relayed to the caller. */
  | {
      type: 'eventsRelayed';
      exchangeId: number;
      attemptId: number;
      lastEventId: number | undefined;
    }
  /** A relayed answer is complete. */
  /** The server of a stream is not read for now, since its caller reads too slowly or its life is being confirmed; or it is again. */
  | { type: 'attemptHeld'; exchangeId: number; attemptId: number; isHeld: boolean }
  /** The head of a stream's answer has arrived, and the registry was read since then, or could not be read in time. */
  | {
      type: 'attemptConfirmed';
      exchangeId: number;
      attemptId: number;
      isRegistryRead: boolean;
      /** When the answer began, and since when its connection is open if that is known. */
      begunAtMs: number;
      connectedAtMs?: number | undefined;
    }
  /** The head of a new stream has arrived from a server whose version is not listed; its events are held. */
  | { type: 'listingAwaited'; exchangeId: number; attemptId: number }
  /** A plain answer has left whose caller did not read it at once. */
  | { type: 'answerDelivered'; routeName: string; tookMs: number }
  | { type: 'attemptEnded'; exchangeId: number; attemptId: number }
  /** The connection ended or delivered an invalid answer after bytes of the attempt were sent. */
  | { type: 'attemptLost'; exchangeId: number; attemptId: number; reason: string }
  /**
   * Outcome of a probe of a server with lost attempts; `life` is the incarnation known at the
   * probe.
   */
  | { type: 'serverProbed'; life: number; outcome: ProbeOutcome }
  | { type: 'crashSuspects'; message: CrashSuspectsMessage }
  /** An operator unblocks a request. */
  | { type: 'verdictLifted'; key: string }
  | { type: 'serverStatements'; message: ServerStatementsMessage }
  | {
      type: 'configurationRead';
      configuration: Configuration;
      source: 'store' | 'peer';
      /** Whether the feed's call before brought no answer, so that other boxes may have missed the same version. */
      isLate?: boolean;
    }
  /** A box did not send the version of the configuration that was requested from it. */
  | { type: 'configurationTransferFailed'; peer: HostPort; version: number; reason: string }
  | { type: 'rolloutOrdered'; order: RolloutOrder }
  /** All registry entries as of one moment, or changes since then. */
  | {
      type: 'serversRead';
      whole: boolean;
      changes: readonly ServerChange[];
      revision: number;
      /** Revision of the store up to which the sender of a whole registry knew all changes; undefined from older boxes. */
      readTo?: number | undefined;
      source: 'store' | 'peer';
      /** Whether the feed's call before brought no answer, so that other boxes may have missed the same changes. */
      isLate?: boolean;
      /** Peer that sent its registry, and the number of the last change in it. */
      sender?: { boxId: string; registryNumber: number };
    }
  /** States whether the store answered the last call of a feed. */
  | ({ type: 'storeContact'; feed: StoreFeed } & FeedContact)
  /**
   * Era in which the store answers; a later one than before means that the store was restored from
   * a backup.
   */
  | { type: 'storeEra'; era: number }
  | {
      type: 'tableAnswered';
      purpose: TablePurpose;
      answer: TableAnswer;
      sentAtMs: number;
      /** Time and era of the store when it executed the call; undefined if it did not answer. */
      storeTime?: { storeNowMs: number; era: number };
    }
  | { type: 'cloudAnswered'; callId: number; outcome: CloudOutcome }
  | { type: 'storeClock'; storeNowMs: number }
  | { type: 'peerMessage'; message: PeerMessage }
  | { type: 'peerUsage'; message: UsageMessage }
  | { type: 'streamStarts'; message: StreamStartsMessage }
  | { type: 'streamStartAsked'; message: StreamStartAskedMessage }
  | { type: 'streamStartAnswered'; message: StreamStartAnsweredMessage }
  | { type: 'versionsListed'; message: VersionsListedMessage }
  | { type: 'unitsAsked'; message: UnitsAskedMessage }
  | { type: 'unitsLent'; message: UnitsLentMessage }
  | { type: 'unitsReturned'; message: UnitsReturnedMessage }
  /** Boxes from the list in the store or from the settings; a box without an address has left. */
  | {
      type: 'peersListed';
      changes: readonly PeerChange[];
      /** True if the changes are the whole list of the store. */
      whole?: boolean;
      /** Latest revision of the entries; undefined for boxes from the settings. */
      revision?: number;
    }
  | { type: 'stopAsked' };

/** Entry of a peer; without an address, the peer has left. */
export interface PeerChange {
  boxId: string;
  address: PeerAddress | undefined;
  /** True if the box holds its share of the limits, which its next incarnations keep. */
  holdsPart?: boolean;
  /** The store's revision of the entry; undefined for boxes from the settings. */
  revision?: number;
}

/** Purpose of a call to the table. */
export type TablePurpose =
  | { kind: 'lease' }
  | { kind: 'clock' }
  | { kind: 'usage'; window: number }
  | { kind: 'checkpoint' }
  | { kind: 'crashSuspects'; writes: boolean }
  | { kind: 'streamRows'; call: 'read' | 'writeOwn' | 'writeVersions' }
  /** Record of the roll-out that the order with this revision started. */
  | { kind: 'rollout'; service: string; revision: number }
  /**
   * Row of this box's reserve; `opens` is true for a write after which the box may use the reserve.
   */
  | { kind: 'limitReserve'; step: 'read' }
  | { kind: 'limitReserve'; step: 'write'; opens: boolean; era: number };

/** An event with its time on the box's monotonic clock and on its wall clock. */
export type GatewayEvent = EventBody & { nowMs: number; wallClockMs: number };

/** An event of one type. */
export type EventOf<T extends EventBody['type']> = Extract<GatewayEvent, { type: T }>;
