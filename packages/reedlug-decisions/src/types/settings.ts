/** Settings of the decisions package, as plain data that the caller has already validated. */

/** How urgent a request is. */
export const RequestClass = { urgent: 'urgent', patient: 'patient' } as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** How engines are chosen. All policies except `affinity` are baselines for comparison. */
export const RoutingPolicy = {
  affinity: 'affinity',
  roundRobin: 'roundRobin',
  leastRequests: 'leastRequests',
  stickyHash: 'stickyHash',
} as const;
export type RoutingPolicy = (typeof RoutingPolicy)[keyof typeof RoutingPolicy];

/** How the number of requests in progress at an engine is limited. */
export const WindowPolicy = { fixed: 'fixed', cacheAware: 'cacheAware' } as const;
export type WindowPolicy = (typeof WindowPolicy)[keyof typeof WindowPolicy];

/** How machine offers are chosen. */
export const PlacementPolicy = {
  effectivePrice: 'effectivePrice',
  cheapestFirst: 'cheapestFirst',
  onDemandOnly: 'onDemandOnly',
} as const;
export type PlacementPolicy = (typeof PlacementPolicy)[keyof typeof PlacementPolicy];

/** How the size of a pool is chosen: by its load, or the number of servers in the settings. */
export const SizingPolicy = { byLoad: 'byLoad', fixed: 'fixed' } as const;
export type SizingPolicy = (typeof SizingPolicy)[keyof typeof SizingPolicy];

/** The kind of a backend server. */
export const ServerKind = { engine: 'engine', service: 'service' } as const;
export type ServerKind = (typeof ServerKind)[keyof typeof ServerKind];

/** A backend server as the settings or the box list describe it. */
export interface ServerSpec {
  id: string;
  kind: ServerKind;
  zone: string;
  /** Model name of an engine, or service name of a plain service. */
  pool: string;
  /** Model version that requests may ask for; empty if none is stated. */
  version: string;
  /** Number of requests that the server runs concurrently. */
  slots: number;
  machineClass: string;
  reclaimable: boolean;
  /** False if the server accepts orders without checking their fencing token. */
  checksFence: boolean;
  /** Base URL, such as `http://10.0.0.7:8000`. */
  address: string;
}

/** An availability zone. */
export interface ZoneSpec {
  name: string;
  /** Site (region) that the zone belongs to. */
  site: string;
}

/** A machine class that the cloud offers in a zone, with its price and reclaim rate. */
export interface OfferSpec {
  machineClass: string;
  zone: string;
  reclaimable: boolean;
  pricePerHour: number;
  /** Expected reclaims per hour of one machine of this kind. */
  reclaimsPerHour: number;
}

/** A pool of engines whose size placement maintains. */
export interface PoolSpec {
  model: string;
  version: string;
  slotsPerEngine: number;
  minEngines: number;
  maxEngines: number;
  /** Minimum number of on-demand engines, kept for urgent requests. */
  onDemandFloor: number;
  checksFence: boolean;
}

/** Limits of one workspace across all boxes. */
export interface WorkspaceLimits {
  id: string;
  requestsPerSecond: number;
  burst: number;
  maxQueued: number;
}

/** An entry box. */
export interface BoxSpec {
  id: string;
  zone: string;
  /** Address of the peer link, `ip:port`. */
  peerAddress: string;
}

/** Weights of the routing cost; deployments differ only in these. */
export interface CostWeights {
  /** Cost of recomputing 1,000 prompt tokens. */
  recomputePerThousandTokens: number;
  /** Cost of one second of waiting for a request. */
  waitPerSecond: number;
}

/** Settings of the policy. */
export interface PolicySettings {
  routing: RoutingPolicy;
  window: WindowPolicy;
  placement: PlacementPolicy;
  sizing: SizingPolicy;
  /** Target share of a pool's slots in use; a lower share keeps more caches warm. */
  targetUse: number;
  /** Whether the KV cache is moved off draining engines. */
  kvMove: boolean;
  /** True to route across the whole site, false to prefer engines in the box's own zone. */
  routeOverSite: boolean;
  weights: CostWeights;
  /** Slots of each engine that patient requests may not use. */
  urgentReservedSlots: number;
  /** After this many urgent dispatches in a row, a waiting patient request is dispatched. */
  patientFloorEvery: number;
  /** Longest wait of a patient request for a full engine that is cheaper, such as the one with its prefix. */
  longestHoldMs: number;
  /** Number of requests beyond the slots that may wait inside an engine. */
  engineQueueAllowance: number;
  retryShare: number;
  retryCapacity: number;
  retryBaseMs: number;
  retryCapMs: number;
  /** Time without an answer after which an urgent repeatable look-up is sent to a second server. */
  secondTryAfterMs: number;
  /** Target time to first token of each request class. */
  urgentTargetMs: number;
  patientTargetMs: number;
  /** A pool move halts when more than this share of answers at the new site miss their target. */
  haltMissShare: number;
  /** Typical speeds of prefill and generation, used where no measurement exists. */
  prefillTokensPerMs: number;
  interTokenMs: number;
  /** Speed of a KV cache transfer between engines. */
  kvTokensPerMs: number;
  crossZoneMs: number;
}

/** Intervals, timeouts and batch sizes of the control functions. */
export interface ControlSettings {
  heartbeatMs: number;
  /** Every n-th heartbeat carries the demand of busy workspaces. */
  demandsEveryHeartbeats: number;
  suspectAfterMs: number;
  deadAfterMs: number;
  probeEveryMs: number;
  probeFailuresToSuspect: number;
  configPollMs: number;
  /** Number of revisions between two snapshots to the object store. */
  snapshotEveryRevisions: number;
  leaseTtlMs: number;
  leaseMarginMs: number;
  leaseRenewMs: number;
  maxOrderFlightMs: number;
  claimGroupSize: number;
  claimTimeoutMs: number;
  /** Time after the first draining notice beyond which a server must receive no new requests. */
  leavingGraceMs: number;
  stallMs: number;
  firstTokenTimeoutMs: number;
  serviceTimeoutMs: number;
  /** How long the records of settled requests are kept for look-ups. */
  retentionMs: number;
  lookupTimeoutMs: number;
  drainNotReadyMs: number;
  /** How long a stream is kept for a caller that has disconnected. */
  reconnectGraceMs: number;
  /** Time before the reclaim of the box at which its open requests are handed to peers. */
  handoverMs: number;
  placementEveryMs: number;
  startBackoffMs: number;
  /** Rate at which one site may load model weights from the weight store, per minute. */
  weightLoadsPerMinute: number;
  /** Time between the announced retirement of an engine and its stop. */
  retireMs: number;
}

/** All settings that the decisions of one box depend on. */
export interface DecisionSettings {
  boxId: string;
  zone: string;
  incarnation: number;
  zones: readonly ZoneSpec[];
  boxes: readonly BoxSpec[];
  servers: readonly ServerSpec[];
  offers: readonly OfferSpec[];
  pools: readonly PoolSpec[];
  workspaces: readonly WorkspaceLimits[];
  /** Services that deduplicate requests themselves, so a keyed request may run without the table. */
  deduplicatingServices: readonly string[];
  policy: PolicySettings;
  control: ControlSettings;
}
