/** Facts about a caller's request, and a box's record of the request. */
import type { Reach } from 'reedlug-coordination';
import type { SendConditions } from '../policy/engineModel.js';
import type { NeededUnits } from '../policy/unitsForBegun.js';
import type { RouteSpec } from './configuration.js';
import type { TakeUp } from './takeUp.js';

/** Reason of a send or an answer that an exception of the box's own code has ended. */
export const INTERNAL_FAULT_REASON = 'internalFault';

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Facts from a request's head. */
export interface HeadFacts {
  requestId: string;
  host: string;
  /** Path with query, as sent. */
  path: string;
  key: string | undefined;
  /**
   * Time from the arrival until the caller's deadline, in ms; undefined if the caller states none.
   */
  deadlineMs: number | undefined;
  /** Tokens of the prompt, and maximum tokens of the answer; undefined for plain requests. */
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
  promptParts: readonly PromptPart[];
  /** Last event that the caller received; the stream is resumed after it. */
  lastEventId: number | undefined;
  /** Id of the request that brought the first event of the stream, if the caller takes one up. */
  resumedRequestId?: string | undefined;
}

/** Facts about a request; its body is relayed without being parsed. */
export interface RequestFacts extends HeadFacts {
  /**
   * Digest of method, host, path and body, which is the same if the request is repeated under
   * another id.
   */
  digest: string;
}

/** Outcome of a run, as stated by a backend server's answer. */
export type AnswerVerdict =
  /** Success, signed by the server. */
  | 'success'
  /** Failure of the server; the request ran, or counts as run. */
  | 'failure'
  /** The server states that it did not run the request. */
  | 'notRun'
  /** Another server now has the address; the request did not run. */
  | 'otherServer'
  /** An answer to another request, or a success without a signature. */
  | 'invalid';

/** An attempt: one send of a request to a server. */
export interface Attempt {
  attemptId: number;
  serverId: string;
  /** Incarnation of the server: its start time, and its number at this box. */
  bornAtMs: number | undefined;
  life: number;
  /** Software version of the server, and whether the server was known to run it when the attempt began. */
  version: string | undefined;
  isAtKnownLife: boolean;
  sentAtMs: number;
  reach: Reach;
  open: boolean;
  /** True while it uses a place of a brittle server that is not this box's own, until an answer. */
  usesSparePlace: boolean;
  /** Prompt tokens that the server is assumed to process for the attempt, and its urgency there. */
  prefillTokens: number;
  urgency: number;
  /** State of the server at the send, and the expected time to the first event. */
  conditions: SendConditions;
  expectedMs: number;
  /** Expected time by the service's model alone, without the speed of the server. */
  modelMs: number;
  /** Time at which it was sent, or at which data was last received for it. */
  lastActivityAtMs: number;
  /** True while its server is not read, so that its silence says nothing. */
  isHeld?: boolean;
  /** Time at which its first event or its answer was received; undefined before. */
  firstOutputAtMs: number | undefined;
  /** True if its answer ends with its connection, as it also does if the server crashes. */
  endsWithConnection?: boolean;
  /** Time at which its run last counted as good before its end; undefined before the crash point. */
  goodRunAtMs?: number;
}

/** Record of a request in progress. */
export interface RequestRecord {
  /** Number of the exchange with the caller, unique on this box. */
  exchangeId: number;
  facts: RequestFacts;
  route: RouteSpec;
  service: string;
  workspace: string | undefined;
  /** Units that each run counts against its workspace's limit; 0 without a workspace. */
  units: number;
  /** Time at which its last send was charged; before the first send, its arrival. */
  chargedAtMs: number;
  /** Units that were charged to this box's limit share; the others were lent by other boxes. */
  chargedToShare: number;
  /** 0 to 9; engines process 0 first. */
  urgency: number;
  /**
   * Time of the first refusal, for a request whose units were reserved since; missing from others.
   */
  reservedAtMs?: number;
  arrivedAtMs: number;
  /** How late the thread of the box was when it read the request, in ms. */
  readLateMs: number;
  /**
   * Time by which the final answer is due: the earlier of the caller's deadline and the route's
   * timeout.
   */
  deadlineAtMs: number;
  attempts: Attempt[];
  /** Servers that refused or lost the request. */
  excludedServers: Set<string>;
  /** True once an attempt failed to connect. */
  failedToConnect: boolean;
  /** True once the head of an answer was relayed to the caller. */
  relayed: boolean;
  /** Id of the last complete event that was relayed to the caller. */
  lastEventId: number | undefined;
  /**
   * Software version of the server that produced the first event, in this answer or in an earlier one
   * of the caller; undefined while there is none.
   */
  beganAtVersion: string | undefined;
  /** True if that server may have run another version than its entry states, so that no server may go on. */
  isBeginUncertain: boolean;
  /** True once the request is counted in the usage of its workspace. */
  counted: boolean;
  /** Keys under which the request may be a crash suspect; undefined until they are needed. */
  suspectKeys?: readonly string[];
}

/** A request that is sent once it gets units of its workspace's limit from other boxes. */
export interface WaitingSend {
  record: RequestRecord;
  /** Time at which the request is refused, or given up if it has been sent before. */
  untilMs: number;
  /** Time at which units were last requested for it. */
  askedAtMs: number;
}

/** A request that arrived before its box knew the configuration and the servers. */
export interface PendingRequest {
  exchangeId: number;
  facts: RequestFacts;
  arrivedAtMs: number;
  /** How late the thread of the box was when it read the request, in ms; 0 if missing. */
  readLateMs?: number | undefined;
  /** Units of its workspace's limit that it waits for. */
  awaitsUnits?: NeededUnits;
  /** Time of its first refusal, if it took the units that were reserved then. */
  reservedAtMs?: number | undefined;
  /** How the stream that it takes up goes on, once that is known. */
  takeUp?: TakeUp | undefined;
}

/** A request and one of its attempts. */
export interface RequestAttempt {
  record: RequestRecord;
  attempt: Attempt;
}

/** A request and one of its attempts, by their ids. */
export interface AttemptIds {
  exchangeId: number;
  attemptId: number;
}
