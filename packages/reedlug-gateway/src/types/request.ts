/** A caller's request as facts, and what a box holds of it. */
import type { Reach } from 'reedlug-coordination';
import type { SendConditions } from '../policy/engineModel.js';
import type { RouteSpec } from './configuration.js';

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request's head says. */
export interface HeadFacts {
  requestId: string;
  host: string;
  /** Path with query, as sent. */
  path: string;
  key: string | undefined;
  /** How long the caller waits, in ms, from the arrival; undefined when it does not say. */
  deadlineMs: number | undefined;
  /** Tokens of the prompt and the most tokens of the answer; undefined for plain requests. */
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
  promptParts: readonly PromptPart[];
  /** The last event that the caller has; it resumes a stream. */
  lastEventId: number | undefined;
}

/** What a box knows of a request; its body passes through unread. */
export interface RequestFacts extends HeadFacts {
  /** Digest of method, host, path and body: alike for a request that comes again under another id. */
  digest: string;
}

/** What a backend server's answer says of the run. */
export type AnswerVerdict =
  /** The server's own success, signed. */
  | 'success'
  /** The server's own failure; the request ran, or counts as run. */
  | 'failure'
  /** The server says that it did not run the request. */
  | 'notRun'
  /** Another server has the address now; the request did not run. */
  | 'otherServer'
  /** Not an answer to this request, or a success without a signature. */
  | 'invalid';

/** One send of a request to a server. */
export interface Attempt {
  attemptId: number;
  serverId: string;
  /** Life of the server that it was sent to: when it began, and its number at this box. */
  bornAtMs: number | undefined;
  life: number;
  /** Version of that server's software. */
  version: string | undefined;
  sentAtMs: number;
  reach: Reach;
  open: boolean;
  /** Prompt tokens that the server is taken to have to read for it, and how urgent it is there. */
  prefillTokens: number;
  urgency: number;
  /** The server's state at the send, and the time to the first event that was expected of it. */
  conditions: SendConditions;
  expectedMs: number;
  /** When it was sent, or when anything last came of it. */
  lastActivityAtMs: number;
  /** When its first event or its answer came; undefined before. */
  firstOutputAtMs: number | undefined;
}

/** A request in progress. */
export interface RequestRecord {
  /** Number of the exchange with the caller, unique on this box. */
  exchangeId: number;
  facts: RequestFacts;
  route: RouteSpec;
  service: string;
  workspace: string | undefined;
  /** What each run of it counts against its workspace's limit; 0 without a workspace. */
  units: number;
  /** When its last send was charged; before the first one, when it arrived. */
  chargedAtMs: number;
  /** Units of it that were charged to this box's part; the others were lent. */
  chargedToShare: number;
  /** 0 to 9; 0 goes first at an engine. */
  urgency: number;
  arrivedAtMs: number;
  /** When the final answer is due, the earlier of caller's deadline and route's timeout. */
  deadlineAtMs: number;
  attempts: Attempt[];
  /** Servers that refused or lost it. */
  excludedServers: Set<string>;
  /** True once a send of it found no connection. */
  failedToConnect: boolean;
  /** True once the head of an answer went to the caller. */
  relayed: boolean;
  /** Id of the last whole event that went to the caller. */
  lastEventId: number | undefined;
  /** True once the request is counted in the usage of its workspace. */
  counted: boolean;
}

/** A request that waits for units of its workspace's limit, to be sent once it has them. */
export interface WaitingSend {
  record: RequestRecord;
  /** When it is refused, or given up where it has been sent before. */
  untilMs: number;
}

/** A request that came before its box knew configuration and servers. */
export interface PendingRequest {
  exchangeId: number;
  facts: RequestFacts;
  arrivedAtMs: number;
}
