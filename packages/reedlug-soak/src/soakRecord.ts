/** What callers and servers saw in a run. Times are in ms of one monotonic clock. */

/** Kinds of requests that callers send. */
export const CallKind = {
  lookup: 'lookup',
  notice: 'notice',
  draft: 'draft',
  /** Asks on a route of one configuration whether it is in force at a box. */
  probe: 'probe',
  /** The request under which servers end. */
  crashing: 'crashing',
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** A request as its caller saw it. */
export interface Call {
  requestId: string;
  kind: CallKind;
  box: number;
  key: string;
  sentAtMs: number;
  endedAtMs: number;
  /** Undefined when the connection gave no answer. */
  status: number | undefined;
  body: string;
  /** True when the answer came to its end in good order. */
  isWhole: boolean;
  /** For a probe, the version of the configuration whose route it asked for. */
  version: number | undefined;
}

/** A request at a server. */
export interface Arrival {
  requestId: string;
  server: string;
  atMs: number;
  ran: boolean;
  /** The limit of requests a second that the server named in its answer, if any. */
  limitPerSecond?: number | undefined;
  /** Number of the server's life among all servers' lives. */
  life: number;
  /** Whether its answer said that the server leaves. */
  saysLeaving?: boolean;
  /** The rest that its refusal asked for, in seconds as it stood on the wire. */
  restSeconds?: string | undefined;
}

/** A span of time; open ones have not ended. */
export interface Span {
  fromMs: number;
  toMs: number;
}

/** Everything that the promises are checked against. */
export interface SoakRecord {
  calls: Call[];
  runs: Arrival[];
  /** Events of a whole draft. */
  draftEvents: number;
  /** When each configuration's routes became known to the store, by version. */
  configuredAtMs: Map<number, number>;
  /** When a key was taken away. */
  revokedAtMs: Map<string, number>;
  /** When a server said that it leaves, or its entry went. */
  leftAtMs: Map<string, number>;
  /** Spans in which a box was stopped, paused, killed, starting, or without the store, by box. */
  troubles: Map<number, Span[]>;
  /** Planned stops by box: from the signal to the end of the process. */
  stops: Map<number, Span[]>;
  /** Spans in which a box's process was paused, or ended until its next start, by box. */
  interruptions: Map<number, Span[]>;
  /** Spans in which the link of a server misbehaved, so that its answers may not arrive. */
  linkTroubles: Span[];
  /** Spans in which any server or its link misbehaved. */
  serverTroubles: Span[];
  /** When servers ended under the request of the crashing caller. */
  crashesAtMs: number[];
  reports: { window: number; counts: string; holder: string; fence: number }[];
}

/** Returns a record of nothing. */
export function createSoakRecord(draftEvents: number): SoakRecord {
  return {
    calls: [],
    runs: [],
    draftEvents,
    configuredAtMs: new Map(),
    revokedAtMs: new Map(),
    leftAtMs: new Map(),
    troubles: new Map(),
    stops: new Map(),
    interruptions: new Map(),
    linkTroubles: [],
    serverTroubles: [],
    crashesAtMs: [],
    reports: [],
  };
}

/** Whether any span touches a stretch of time. */
export function overlaps(spans: readonly Span[], fromMs: number, toMs: number): boolean {
  return spans.some((span) => span.fromMs <= toMs && span.toMs >= fromMs);
}
