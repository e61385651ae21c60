/** Defaults of the policy and control settings; chosen by measurement where docs/measurements.md says so. */
import {
  PlacementPolicy,
  RoutingPolicy,
  WindowPolicy,
  type ControlSettings,
  type PolicySettings,
} from './types/settings.js';

/** The policy without any tuning. */
export const DEFAULT_POLICY: PolicySettings = {
  routing: RoutingPolicy.affinity,
  window: WindowPolicy.fixed,
  placement: PlacementPolicy.effectivePrice,
  kvMove: true,
  routeOverSite: true,
  weights: { recomputePerThousandTokens: 1, waitPerSecond: 1 },
  urgentReservedSlots: 2,
  patientFloorEvery: 8,
  engineQueueAllowance: 0,
  retryShare: 0.1,
  retryCapacity: 20,
  retryBaseMs: 50,
  retryCapMs: 2000,
  secondTryAfterMs: 400,
  prefillTokensPerMs: 8,
  interTokenMs: 25,
  kvTokensPerMs: 40,
  crossZoneMs: 1.5,
};

/** Times and sizes of the control part. */
export const DEFAULT_CONTROL: ControlSettings = {
  heartbeatMs: 1000,
  suspectAfterMs: 3000,
  deadAfterMs: 10_000,
  probeEveryMs: 1000,
  probeFailuresToSuspect: 2,
  configPollMs: 1000,
  snapshotEveryRevisions: 256,
  leaseTtlMs: 10_000,
  leaseMarginMs: 1000,
  leaseRenewMs: 3000,
  maxOrderFlightMs: 5000,
  claimGroupMs: 2,
  claimGroupSize: 25,
  claimTimeoutMs: 3000,
  leavingGraceMs: 3000,
  stallMs: 3000,
  firstTokenTimeoutMs: 20_000,
  serviceTimeoutMs: 10_000,
  retentionMs: 600_000,
  lookupTimeoutMs: 1500,
  drainNotReadyMs: 2000,
  reconnectGraceMs: 5000,
  handoverMs: 1500,
  placementEveryMs: 2000,
  startBackoffMs: 2000,
};
