/** A caller's request, and a single try of it at a box. */
import type { RequestFacts } from 'reedlug-gateway';
import type { SceneClass } from '../scene/scene.js';

/** How a request crashes its server: after `runMs`, and for `downMs`. */
export interface ServerCrash {
  /** What crashes servers: the digest of the request, or the part of its prompt. */
  cause: string;
  runMs: number;
  downMs: number;
  /** Whether the next incarnation reports the time of its start. */
  tellsBirth: boolean;
}

/** A caller's request over all of its tries. */
export interface CallerRequest {
  spec: SceneClass;
  zone: string;
  workspace: string;
  /** World time of the first try. */
  startedAtMs: number;
  /** World time at which the caller gives up. */
  deadlineAtMs: number;
  /** Facts that the box receives with the try in progress. */
  facts: RequestFacts;
  /** Work of a plain request, in ms. */
  workMs: number;
  /** Number of events in a stream's answer, and the last one that the caller has received. */
  events: number;
  lastEventId: number | undefined;
  /** Request that brought the first event, and the software version of its server. */
  began: { requestId: string; version: string } | undefined;
  /** Whether the try in progress still has to bring an event, for the record of streams. */
  isAttemptCounted: boolean;
  /** Number of tries, among them those that reached no box and do not count as retries. */
  tries: number;
  reconnects: number;
  /** What the caller has received of the answer. */
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  longestGapMs: number;
  /** Number of runs of the try in progress that servers have started. */
  runsInTry: number;
  /** Number of servers that the try in progress reached. */
  arrivalsInTry: number;
  /** World time of the last try that followed the wait after a refusal; undefined without one. */
  retriedAfterRefusalAtMs: number | undefined;
  /** World time at which the try in progress reached a box. */
  reachedBoxAtMs: number | undefined;
  /** Whether its first try brought an event or an answer, and whether that try was refused for a limit. */
  beganAtFirstTry: boolean;
  isFirstTryOverLimit: boolean;
  /** Whether the caller leaves before its usual deadline. */
  leavesEarly: boolean;
  /** How a server that runs it crashes; undefined for ordinary requests. */
  crashesServer: ServerCrash | undefined;
}

/** Whether a request may run more than once. */
export function isRepeatable({ spec }: CallerRequest): boolean {
  return spec.kind === 'stream' ? spec.resumable : spec.kind === 'repeatable';
}

/** Whether the caller tries once more after its try in progress. */
export function hasRetriesLeft({ tries, reconnects, spec }: CallerRequest): boolean {
  return tries - reconnects <= spec.retries;
}

/** A refusal as the caller receives it. */
export interface Refusal {
  status: number;
  reason: string;
  retryAfterMs: number | undefined;
}

/** A try at a box: the caller's handlers for what the box sends. */
export interface CallerAttempt {
  request: CallerRequest;
  /** Whether its box has sent it to a server. */
  isSent: boolean;
  /** A whole plain answer. */
  onAnswer: () => void;
  /** An event of a stream, from a server of the given software version. */
  onEvent: (event: number, version: string) => void;
  /** The end of a stream. */
  onEnded: () => void;
  onRefused: (refusal: Refusal) => void;
  onConnectionLost: () => void;
}
