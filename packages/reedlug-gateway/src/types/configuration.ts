/** Configuration by the operators, in the form that the gateway uses. */

/** Whether requests of a route may be repeated. */
export const RouteKind = {
  /** May run more than once. */
  repeatable: 'repeatable',
  /** Runs at most once for each request id. */
  nonRepeatable: 'nonRepeatable',
  /** Answers with a stream of events; `resumable` states whether the stream can be resumed. */
  stream: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  service: string;
  /** Weight relative to the other targets of the route. */
  weight: number;
}

/** A route, selected by host and path. */
export interface RouteSpec {
  name: string;
  host: string;
  /** Path prefix, with a leading and a trailing slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Maximum time for which a request is held, in ms. */
  timeoutMs: number;
  /**
   * Target time to the answer, or to the first event of a stream, in ms; meeting it earns full
   * credit.
   */
  targetMs: number;
  /** Maximum gap between events of a stream that counts as in time, in ms. */
  gapTargetMs: number | undefined;
  /** Priority; 0 is the most urgent. */
  priority: number;
  targets: readonly RouteTarget[];
  /** Maximum number of backend servers that may run one request. */
  maxAttempts: number;
  /** True if the route requires no key. */
  isPublic: boolean;
  resumable: boolean;
}

/** Capacity of a model engine of a service. */
export interface EngineSpec {
  /** Number of requests that one engine runs concurrently. */
  slots: number;
  /** Capacity of one engine's KV cache, in tokens. */
  kvCapacityTokens: number;
}

/** Bounds and prices for ordering engines of a service. */
export interface ScalingSpec {
  /** Bounds per zone on the number of reclaimable and on-demand engines together. */
  minPerZone: number;
  maxPerZone: number;
  /** Time from an order until the engine is ready, in ms. */
  bootMs: number;
  /**
   * Price of a reclaimable engine as a share of that of an on-demand one; undefined if there are no
   * reclaimable ones.
   */
  reclaimablePriceShare: number | undefined;
  /** Price of an engine-second in each zone. */
  zonePrices: readonly { zone: string; price: number }[];
}

/** A service behind the gateway. */
export interface ServiceSpec {
  name: string;
  /** Maximum number of connections to one server, over all boxes. */
  maxConnections: number;
  engine: EngineSpec | undefined;
  scaling: ScalingSpec | undefined;
}

/** Unit in which a workspace's limit is counted. */
export const LimitUnit = { requests: 'requests', tokens: 'tokens' } as const;
export type LimitUnit = (typeof LimitUnit)[keyof typeof LimitUnit];

/** A workspace with its keys and its limit, which applies to all boxes together. */
export interface WorkspaceSpec {
  name: string;
  keys: readonly string[];
  /** Takes precedence over the route's priority; undefined if the workspace has none. */
  priority: number | undefined;
  unit: LimitUnit;
  /** Tokens charged for a request without token counts. */
  plainTokens: number;
  /** Units per second; 0 for no limit. */
  ratePerSecond: number;
  /** Burst in units, in addition to the rate. */
  burst: number;
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A complete version of the configuration. */
export interface Configuration {
  /** Increases with each change, not necessarily by 1. */
  version: number;
  routes: readonly RouteSpec[];
  services: readonly ServiceSpec[];
  /** Empty if requests carry no keys. */
  workspaces: readonly WorkspaceSpec[];
  limits: CallerLimits;
}
