/** Settings that the decisions rest on; plain data, checked before it gets here. */

/** How urgent a request is. */
export const RequestClass = { urgent: 'urgent', patient: 'patient' } as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** How engines are chosen. All but `affinity` are baselines to measure against. */
export const RoutingPolicy = {
  affinity: 'affinity',
  roundRobin: 'roundRobin',
  leastRequests: 'leastRequests',
  stickyHash: 'stickyHash',
} as const;
export type RoutingPolicy = (typeof RoutingPolicy)[keyof typeof RoutingPolicy];

/** How the number of requests in progress at an engine is bounded. */
export const WindowPolicy = { fixed: 'fixed', cacheAware: 'cacheAware' } as const;
export type WindowPolicy = (typeof WindowPolicy)[keyof typeof WindowPolicy];

/** How boxes are bought. */
export const PlacementPolicy = {
  effectivePrice: 'effectivePrice',
  cheapestFirst: 'cheapestFirst',
  onDemandOnly: 'onDemandOnly',
} as const;
export type PlacementPolicy = (typeof PlacementPolicy)[keyof typeof PlacementPolicy];

/** How many engines a pool has: by its load, or as many as the settings list. */
export const SizingPolicy = { byLoad: 'byLoad', fixed: 'fixed' } as const;
export type SizingPolicy = (typeof SizingPolicy)[keyof typeof SizingPolicy];

/** What a backend server is. */
export const ServerKind = { engine: 'engine', service: 'service' } as const;
export type ServerKind = (typeof ServerKind)[keyof typeof ServerKind];

/** A backend server as the settings or the box list describe it. */
export interface ServerSpec {
  id: string;
  kind: ServerKind;
  zone: string;
  /** Model name of an engine, service name of a plain service. */
  pool: string;
  /** Version of the model that requests expect; empty where none is stated. */
  version: string;
  /** Requests that the server runs at once. */
  slots: number;
  machineClass: string;
  reclaimable: boolean;
  /** False when the server takes orders without looking at their fence. */
  checksFence: boolean;
  /** Where it listens, such as `http://10.0.0.7:8000`. */
  address: string;
}

/** An availability zone. */
export interface ZoneSpec {
  name: string;
  /** The site (region) that the zone belongs to. */
  site: string;
}

/** A machine class that the cloud offers in a zone. */
export interface OfferSpec {
  machineClass: string;
  zone: string;
  reclaimable: boolean;
  pricePerHour: number;
  /** Expected reclaims an hour of one box of this kind. */
  reclaimsPerHour: number;
}

/** A pool of engines that placement keeps at size. */
export interface PoolSpec {
  model: string;
  version: string;
  slotsPerEngine: number;
  minEngines: number;
  maxEngines: number;
  /** Engines that are kept on demand for urgent work. */
  onDemandFloor: number;
  checksFence: boolean;
}

/** Limits of one workspace over all boxes. */
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

/** What a deployment weighs; the two users differ only here. */
export interface CostWeights {
  /** Cost of recomputing 1,000 prompt tokens. */
  recomputePerThousandTokens: number;
  /** Cost of one second that a request waits. */
  waitPerSecond: number;
}

/** Settings of the policy. */
export interface PolicySettings {
  routing: RoutingPolicy;
  window: WindowPolicy;
  placement: PlacementPolicy;
  sizing: SizingPolicy;
  /** Share of a pool's slots that should be in use; lower keeps more caches warm. */
  targetUse: number;
  /** Move KV cache off engines that leave. */
  kvMove: boolean;
  /** Route over the engines of the whole site, or of the box's own zone first. */
  routeOverSite: boolean;
  weights: CostWeights;
  /** Slots of each engine that patient requests leave free. */
  urgentReservedSlots: number;
  /** One of this many dispatches goes to a patient request that waits. */
  patientFloorEvery: number;
  /** A patient request waits at most this long for the engine that has its prefix. */
  longestHoldMs: number;
  /** Requests beyond the slots that may wait inside an engine. */
  engineQueueAllowance: number;
  retryShare: number;
  retryCapacity: number;
  retryBaseMs: number;
  retryCapMs: number;
  /** After this long without an answer an urgent repeatable look-up is tried a second time. */
  secondTryAfterMs: number;
  /** First token that an answer should have, by class. */
  urgentTargetMs: number;
  patientTargetMs: number;
  /** A pool's move halts when more than this share of answers at the new site miss their target. */
  haltMissShare: number;
  /** Typical prompt work and generation speed, used until measured. */
  prefillTokensPerMs: number;
  interTokenMs: number;
  /** Speed of a KV move between engines. */
  kvTokensPerMs: number;
  crossZoneMs: number;
}

/** Times and sizes of the control part. */
export interface ControlSettings {
  heartbeatMs: number;
  /** One heartbeat in so many carries the demand of busy workspaces. */
  demandsEveryHeartbeats: number;
  suspectAfterMs: number;
  deadAfterMs: number;
  probeEveryMs: number;
  probeFailuresToSuspect: number;
  configPollMs: number;
  /** Revisions between two snapshots to the object store. */
  snapshotEveryRevisions: number;
  leaseTtlMs: number;
  leaseMarginMs: number;
  leaseRenewMs: number;
  maxOrderFlightMs: number;
  claimGroupSize: number;
  claimTimeoutMs: number;
  /** No new work reaches a server this long after the first word that it leaves. */
  leavingGraceMs: number;
  stallMs: number;
  firstTokenTimeoutMs: number;
  serviceTimeoutMs: number;
  /** How long outcomes are kept for later questions. */
  retentionMs: number;
  lookupTimeoutMs: number;
  drainNotReadyMs: number;
  /** How long a stream is kept for a caller that lost its connection. */
  reconnectGraceMs: number;
  /** Open requests are handed to peers this long before the box itself is reclaimed. */
  handoverMs: number;
  placementEveryMs: number;
  startBackoffMs: number;
  /** Loads of model weights that one site asks of the weight store in a minute. */
  weightLoadsPerMinute: number;
  /** Notice that placement gives before it stops an engine. */
  retireMs: number;
}

/** All settings of one box's decisions. */
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
  /** Services that remove duplicates themselves, so that a keyed request may run without the table. */
  deduplicatingServices: readonly string[];
  policy: PolicySettings;
  control: ControlSettings;
}
