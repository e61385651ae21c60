/** Record of what callers and servers observed in a run. Times are in ms of one monotonic clock. */

import type { CalledStream } from './calledStream.js';

/** Kinds of requests that callers send. */
export const CallKind = {
  lookup: 'lookup',
  notice: 'notice',
  draft: 'draft',
  /**
   * Requests a route that only one configuration has, to check whether a box applies that
   * configuration.
   */
  probe: 'probe',
  /** Crashes the server that runs it. */
  crashing: 'crashing',
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** A request as observed by its caller. */
export interface Call {
  requestId: string;
  kind: CallKind;
  box: number;
  key: string;
  sentAtMs: number;
  endedAtMs: number;
  /** Time at which its caller left without an answer; missing if it did not. */
  leftAtMs?: number;
  /** Undefined when the connection gave no response. */
  status: number | undefined;
  body: string;
  /** True when the response was received completely. */
  isWhole: boolean;
  /** For a probe, the version of the configuration whose route it requested. */
  version: number | undefined;
  /** Whether its caller was refused by a box that stopped, and comes back to one that does not. */
  isComeback?: boolean;
}

/** A request that arrived at a server. */
export interface Arrival {
  requestId: string;
  server: string;
  atMs: number;
  ran: boolean;
  /** The limit of requests per second that the server announced in its response, if any. */
  limitPerSecond?: number | undefined;
  /** Index of the server's incarnation among those of all servers. */
  life: number;
  /** Whether the response announced that the server is draining. */
  saysLeaving?: boolean;
  /** The pause that the refusal asked for: the header value as sent, in seconds. */
  restSeconds?: string | undefined;
}

/** A span of time. While it is open, `toMs` is infinite. */
export interface Span {
  fromMs: number;
  toMs: number;
}

/** A span in which some boxes were partitioned from servers. */
export interface PartitionSpan extends Span {
  boxes: ReadonlySet<number>;
}

/** A stream whose prompt holds the part that crashes servers, or that shares its other parts with such streams. */
export interface PartStream {
  isCrashing: boolean;
  stream: CalledStream;
}

/** Everything that is needed to check the guarantees. */
export interface SoakRecord {
  calls: Call[];
  runs: Arrival[];
  /** Number of boxes at the start. */
  boxes: number;
  /** Key of the workspace with a limit. */
  limitedKey: string;
  /** Number of events of a complete draft. */
  draftEvents: number;
  /** When the store acknowledged each configuration, by version. */
  configuredAtMs: Map<number, number>;
  /** When each key was revoked. */
  revokedAtMs: Map<string, number>;
  /**
   * When the registry entry of a server was marked as draining, or removed after a crash, by server
   * id.
   */
  leftAtMs: Map<string, number>;
  /**
   * Spans in which a box was stopped, paused, killed, starting, or affected by a fault of the store
   * or of its link to the store, by box.
   */
  troubles: Map<number, Span[]>;
  /** Boxes whose process had ended at the end of the load. */
  endedBoxes: readonly number[];
  /** Spans in which boxes were partitioned from servers. */
  partitions: PartitionSpan[];
  /** Planned stops by box: from the signal to the next start of the process. */
  stops: Map<number, Span[]>;
  /**
   * Spans in which a box's process was paused, or was stopped or killed and not yet started again,
   * by box.
   */
  interruptions: Map<number, Span[]>;
  /** Spans in which the link of a server had a fault, so that its responses may have been lost. */
  linkTroubles: Span[];
  /** Spans in which any server or its link had a fault. */
  serverTroubles: Span[];
  /** When servers crashed while they ran the crashing request. */
  crashesAtMs: number[];
  /** When servers crashed under a part of prompts, and the streams beside and with that part. */
  partCrashesAtMs: number[];
  partStreams: PartStream[];
  /** Streams on new connections, most of which went to one box for a while. */
  unevenStreams: CalledStream[];
  /** Streams of callers that take them up. */
  streams: CalledStream[];
  /** Changes of the number of servers that accept requests, by software version, in order. */
  versionServers: { atMs: number; version: string; servers: number }[];
  reports: { window: number; counts: string; holder: string; fence: number }[];
}

/** Returns an empty record. */
export function createSoakRecord(params: {
  draftEvents: number;
  boxes: number;
  limitedKey: string;
}): SoakRecord {
  return {
    calls: [],
    runs: [],
    ...params,
    configuredAtMs: new Map(),
    revokedAtMs: new Map(),
    leftAtMs: new Map(),
    troubles: new Map(),
    endedBoxes: [],
    partitions: [],
    stops: new Map(),
    interruptions: new Map(),
    linkTroubles: [],
    serverTroubles: [],
    crashesAtMs: [],
    partCrashesAtMs: [],
    partStreams: [],
    unevenStreams: [],
    streams: [],
    versionServers: [],
    reports: [],
  };
}

/** Returns whether any span overlaps the given time range, ends included. */
export function overlaps(spans: readonly Span[], fromMs: number, toMs: number): boolean {
  return spans.some((span) => span.fromMs <= toMs && span.toMs >= fromMs);
}
