/** The operators' configuration as the gateway uses it. */

/** What may be done again with a request of a route. */
export const RouteKind = {
  /** May run more than once. */
  repeatable: 'repeatable',
  /** Runs at most once for each request id. */
  nonRepeatable: 'nonRepeatable',
  /** Answers with a series of events; `resumable` says whether it may be taken up again. */
  stream: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that takes part of a route's requests. */
export interface RouteTarget {
  service: string;
  /** Relative to the other targets of the route. */
  weight: number;
}

/** A route by host and path. */
export interface RouteSpec {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** The longest that a request may be held, in ms. */
  timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that earns full credit, in ms. */
  targetMs: number;
  /** The longest pause between events of a stream that still counts as in time, in ms. */
  gapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  targets: readonly RouteTarget[];
  /** The most backend servers that may run one request. */
  maxAttempts: number;
  /** True when no key is asked for. */
  isPublic: boolean;
  resumable: boolean;
}

/** What a model engine of a service can do. */
export interface EngineSpec {
  /** Requests that one engine works on at a time. */
  slots: number;
  /** Tokens that fit one engine's KV cache. */
  kvCapacityTokens: number;
}

/** How many engines of a service may be ordered, and at which price. */
export interface ScalingSpec {
  /** Bounds for each zone, over both kinds of engines together. */
  minPerZone: number;
  maxPerZone: number;
  /** Time from an order until the engine serves, in ms. */
  bootMs: number;
  /** Price of a reclaimable engine as a share of an on-demand one; undefined when there are none. */
  reclaimablePriceShare: number | undefined;
  /** Price of an engine-second by zone. */
  zonePrices: readonly { zone: string; price: number }[];
}

/** A service behind the gateway. */
export interface ServiceSpec {
  name: string;
  /** Connections that one server takes from all boxes together. */
  maxConnections: number;
  engine: EngineSpec | undefined;
  scaling: ScalingSpec | undefined;
}

/** What a workspace's limit counts. */
export const LimitUnit = { requests: 'requests', tokens: 'tokens' } as const;
export type LimitUnit = (typeof LimitUnit)[keyof typeof LimitUnit];

/** A workspace with its keys and its limit over all boxes together. */
export interface WorkspaceSpec {
  name: string;
  keys: readonly string[];
  /** Goes before the route's priority; undefined when the workspace has none. */
  priority: number | undefined;
  unit: LimitUnit;
  /** Tokens that a request without token counts stands for. */
  plainTokens: number;
  /** Units a second; 0 for no limit. */
  ratePerSecond: number;
  /** Units on top of the rate. */
  burst: number;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One whole version of the configuration. */
export interface Configuration {
  /** Rises with each change, in uneven steps. */
  version: number;
  routes: readonly RouteSpec[];
  services: readonly ServiceSpec[];
  /** Empty when requests carry no keys. */
  workspaces: readonly WorkspaceSpec[];
  limits: CallerLimits;
}
