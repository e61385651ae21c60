/** Everything that the reducer takes. */
import type { TableAnswer } from 'reedlug-coordination';
import type { Configuration } from './configuration.js';
import type { CrashSuspectsMessage } from './crashSuspect.js';
import type { AnswerVerdict, RequestFacts } from './request.js';
import type { RolloutOrder } from './rollout.js';
import type { AnswerStatements, ServerStatementsMessage } from './serverStatement.js';
import type { ServerChange } from './server.js';
import type {
  PeerAddress,
  PeerMessage,
  UnitsAskedMessage,
  UnitsLentMessage,
  UnitsReturnedMessage,
  UsageMessage,
} from './peer.js';

/** How a call to the cloud ended. */
export type CloudOutcome = 'done' | 'fenced' | 'unavailable' | 'refused' | 'unknown';

/** Whether a server's port took a connection, refused it, or said nothing. */
export type ProbeOutcome = 'accepted' | 'refused' | 'silent';

/** An event without its time. */
export type EventBody =
  | { type: 'tick' }
  | { type: 'requestArrived'; exchangeId: number; facts: RequestFacts }
  | { type: 'callerGone'; exchangeId: number }
  /** No byte of the attempt left this box. */
  | { type: 'attemptNotSent'; exchangeId: number; attemptId: number; reason: string }
  /** The head of a server's answer is here, with what it says of the server. */
  | {
      type: 'answerBegun';
      exchangeId: number;
      attemptId: number;
      statements: AnswerStatements;
    }
  /** A whole plain answer is here, or the head and first event of a stream. */
  | {
      type: 'attemptAnswered';
      exchangeId: number;
      attemptId: number;
      verdict: AnswerVerdict;
      status: number;
    }
  /** Whole events of a stream went to the caller. */
  | {
      type: 'eventsRelayed';
      exchangeId: number;
      attemptId: number;
      lastEventId: number | undefined;
    }
  /** A relayed answer came to its end. */
  | { type: 'attemptEnded'; exchangeId: number; attemptId: number }
  /** The connection ended, or said what is no answer, after bytes were sent. */
  | { type: 'attemptLost'; exchangeId: number; attemptId: number; reason: string }
  /** What came of a new connection to a server with lost sends, of the life that the box knew. */
  | { type: 'serverProbed'; life: number; outcome: ProbeOutcome }
  | { type: 'crashSuspects'; message: CrashSuspectsMessage }
  /** An operator lets a request in again that is kept out. */
  | { type: 'verdictLifted'; key: string }
  | { type: 'serverStatements'; message: ServerStatementsMessage }
  | { type: 'configurationRead'; configuration: Configuration; source: 'store' | 'peer' }
  | { type: 'rolloutOrdered'; order: RolloutOrder }
  /** All entries as of one moment, or changes since. */
  | {
      type: 'serversRead';
      whole: boolean;
      changes: readonly ServerChange[];
      revision: number;
      source: 'store' | 'peer';
      /** The peer that gave its registry, and how far that counts its changes. */
      sender?: { boxId: string; registryNumber: number };
    }
  /** Whether the store answered the last call of a feed. */
  | { type: 'storeContact'; reachable: boolean }
  /** The store answers in this era; a later one than before means that it came back from a copy. */
  | { type: 'storeEra'; era: number }
  | { type: 'tableAnswered'; purpose: TablePurpose; answer: TableAnswer; sentAtMs: number }
  | { type: 'cloudAnswered'; callId: number; outcome: CloudOutcome }
  | { type: 'storeClock'; storeNowMs: number }
  | { type: 'peerMessage'; message: PeerMessage }
  | { type: 'peerUsage'; message: UsageMessage }
  | { type: 'unitsAsked'; message: UnitsAskedMessage }
  | { type: 'unitsLent'; message: UnitsLentMessage }
  | { type: 'unitsReturned'; message: UnitsReturnedMessage }
  /** Boxes that the store lists or the settings name; one without an address has left. */
  | {
      type: 'peersListed';
      changes: readonly PeerChange[];
      /** True when the store told its whole list. */
      whole?: boolean;
      /** Newest revision among the entries; undefined for names from the settings. */
      revision?: number;
    }
  | { type: 'stopAsked' };

/** A peer's entry; without an address it has left. */
export interface PeerChange {
  boxId: string;
  address: PeerAddress | undefined;
  /** True when the box holds its part of the limits, which its next lives hold on. */
  holdsPart?: boolean;
  /** The store's revision of the entry; undefined for names from the settings. */
  revision?: number;
}

/** What a call to the table was for. */
export type TablePurpose =
  | { kind: 'lease' }
  | { kind: 'clock' }
  | { kind: 'usage'; window: number }
  | { kind: 'checkpoint' }
  | { kind: 'crashSuspects'; writes: boolean }
  /** The record of a roll-out, of the order with this revision. */
  | { kind: 'rollout'; service: string; revision: number };

/** An event with the time on the box's monotonic clock and on its wall clock. */
export type GatewayEvent = EventBody & { nowMs: number; wallClockMs: number };

/** An event of one type. */
export type EventOf<T extends EventBody['type']> = Extract<GatewayEvent, { type: T }>;
