/** A caller's request, and one try of it at a box. */
import type { RequestFacts } from 'reedlug-gateway';
import type { SceneClass } from '../scene/scene.js';

/** How a server ends under a request: after how long, and for how long. */
export interface ServerCrash {
  runMs: number;
  downMs: number;
  /** Whether its next life tells when it was born. */
  tellsBirth: boolean;
}

/** A request that a caller wants served, over all of its tries. */
export interface CallerRequest {
  spec: SceneClass;
  zone: string;
  workspace: string;
  /** World time of the first try. */
  startedAtMs: number;
  /** World time at which the caller gives up. */
  deadlineAtMs: number;
  /** Facts of the try in progress. */
  facts: RequestFacts;
  /** Work of a plain request, in ms. */
  workMs: number;
  /** Events of a stream's answer, and the last that the caller has. */
  events: number;
  lastEventId: number | undefined;
  /** Tries made, and what was seen of the answer. */
  tries: number;
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  longestGapMs: number;
  /** Runs of the try in progress that servers have begun. */
  runsInTry: number;
  /** Servers that the try in progress reached. */
  arrivalsInTry: number;
  /** Set when a refusal was waited out as told: when the try after it began. */
  retryAfterHonoredAtMs: number | undefined;
  /** World time at which the try in progress reached a box. */
  reachedBoxAtMs: number | undefined;
  /** The caller leaves before its time. */
  leavesEarly: boolean;
  /** What becomes of a server that runs it; undefined for usual requests. */
  crashesServer: ServerCrash | undefined;
}

/** Whether a request may run more than once. */
export function isRepeatable({ spec }: CallerRequest): boolean {
  return spec.kind === 'stream' ? spec.resumable : spec.kind === 'repeatable';
}

/** A refusal as the caller sees it. */
export interface Refusal {
  status: number;
  reason: string;
  retryAfterMs: number | undefined;
}

/** A try at a box: what the box tells it. */
export interface CallerAttempt {
  request: CallerRequest;
  /** A whole plain answer. */
  onAnswer: () => void;
  /** An event of a stream. */
  onEvent: (event: number) => void;
  /** The end of a stream. */
  onEnded: () => void;
  onRefused: (refusal: Refusal) => void;
  onConnectionLost: () => void;
}
