/**
 * Settings of the checked deployment. It has the size of a real one, but its times are short, so
 * that leases lapse and limits are redistributed within a run.
 */
import {
  DEFAULT_CONTROL,
  DEFAULT_POLICY,
  type DecisionSettings,
  type ServerSpec,
} from 'reedlug-decisions';

/** Zones of the checked deployment. */
export const CHECK_ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
/** Model and service of the checked deployment. */
export const CHECK_MODEL = 'draft';
export const CHECK_SERVICE = 'records';
/** Workspaces, with limits that the generated calls never reach. */
export const CHECK_WORKSPACES = ['lab-1', 'lab-2', 'floor'] as const;

const BOXES_PER_ZONE = 2;
const ENGINES_PER_ZONE = 2;
const SLOTS = 6;

function engineSpecs(): ServerSpec[] {
  return CHECK_ZONES.flatMap((zone) =>
    Array.from({ length: ENGINES_PER_ZONE }, (_, index): ServerSpec => ({
      id: `engine-${zone}-${index + 1}`,
      kind: 'engine',
      zone,
      pool: CHECK_MODEL,
      version: 'v1',
      slots: SLOTS,
      machineClass: 'standard',
      reclaimable: index === 0,
      checksFence: !(zone === 'zone-c' && index === 1),
      address: `http://${zone}-${index}`,
    })),
  );
}

function serviceSpecs(): ServerSpec[] {
  return CHECK_ZONES.map((zone): ServerSpec => ({
    id: `records-${zone}`,
    kind: 'service',
    zone,
    pool: CHECK_SERVICE,
    version: '',
    slots: 32,
    machineClass: 'service',
    reclaimable: false,
    checksFence: false,
    address: `http://records-${zone}`,
  }));
}

/** Returns the settings that all boxes share. */
export function checkSettings(): Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'> {
  return {
    zones: CHECK_ZONES.map((name) => ({ name, site: 'site' })),
    boxes: CHECK_ZONES.flatMap((zone) =>
      Array.from({ length: BOXES_PER_ZONE }, (_, index) => ({
        id: `${zone}-${index + 1}`,
        zone,
        peerAddress: '',
      })),
    ),
    servers: [...engineSpecs(), ...serviceSpecs()],
    offers: CHECK_ZONES.flatMap((zone) => [
      { machineClass: 'standard', zone, reclaimable: true, pricePerHour: 1, reclaimsPerHour: 1 },
      { machineClass: 'standard', zone, reclaimable: false, pricePerHour: 3, reclaimsPerHour: 0 },
    ]),
    pools: [
      {
        model: CHECK_MODEL,
        version: 'v1',
        slotsPerEngine: SLOTS,
        minEngines: CHECK_ZONES.length * ENGINES_PER_ZONE,
        maxEngines: 9,
        onDemandFloor: 2,
        checksFence: true,
      },
    ],
    workspaces: CHECK_WORKSPACES.map((id) => ({
      id,
      requestsPerSecond: 1000,
      burst: 1000,
      maxQueued: 1000,
    })),
    deduplicatingServices: [],
    policy: { ...DEFAULT_POLICY, interTokenMs: 10, secondTryAfterMs: 150 },
    control: {
      ...DEFAULT_CONTROL,
      heartbeatMs: 400,
      suspectAfterMs: 1000,
      deadAfterMs: 2500,
      probeEveryMs: 300,
      configPollMs: 500,
      snapshotEveryRevisions: 4,
      leaseTtlMs: 2000,
      leaseMarginMs: 200,
      leaseRenewMs: 500,
      maxOrderFlightMs: 600,
      claimTimeoutMs: 1500,
      leavingGraceMs: 3000,
      stallMs: 800,
      firstTokenTimeoutMs: 3000,
      serviceTimeoutMs: 1500,
      retentionMs: 30_000,
      lookupTimeoutMs: 700,
      drainNotReadyMs: 500,
      reconnectGraceMs: 700,
      handoverMs: 600,
      placementEveryMs: 500,
      startBackoffMs: 300,
    },
  };
}
