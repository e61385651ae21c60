/** Scenarios of the measurement: the load and the events during it. */
import { emit } from '../world/emit.js';
import type { World } from '../world/worldTypes.js';
import { reclaimServer, reclaimZone } from '../world/faults.js';

/** Names of the scenarios. */
export const ScenarioName = {
  ordinaryDay: 'ordinaryDay',
  zoneReclaimed: 'zoneReclaimed',
  wavesRefused: 'wavesRefused',
  draftRush: 'draftRush',
  noisyWorkspace: 'noisyWorkspace',
  tableAway: 'tableAway',
  siteMove: 'siteMove',
} as const;
export type ScenarioName = (typeof ScenarioName)[keyof typeof ScenarioName];

/** Load and events of a measurement. */
export interface Scenario {
  name: ScenarioName;
  lengthMs: number;
  /** Rates at which patient and urgent conversations begin, relative to an ordinary day. */
  patientFactor: (atMs: number) => number;
  urgentFactor: number;
  /** Factor on the draft rate of the first patient workspace. */
  noisyFactor: number;
  /** Length of a conversation's first prompt, relative to an ordinary day. */
  promptFactor: number;
  /** True if a second site doubles the deployment. */
  hasSecondSite: boolean;
  /** Schedules the events of the scenario. */
  scheduleEvents: (world: World) => void;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const NOTICE_MS = 5000;

const ORDINARY_DAY: Scenario = {
  name: ScenarioName.ordinaryDay,
  lengthMs: 5 * MINUTE_MS,
  patientFactor: () => 1,
  urgentFactor: 1,
  noisyFactor: 1,
  promptFactor: 1,
  hasSecondSite: false,
  scheduleEvents: scheduleReclaims,
};

/** Reclaims each reclaimable engine at random times, at the rate of its offer. */
function scheduleReclaims(world: World): void {
  const INTERVAL_MS = 5000;
  const reclaimSome = (): void => {
    for (const server of [...world.servers.values()]) {
      if (!server.spec.reclaimable || server.leaving) continue;
      const offer = world.options.settings.offers.find(
        ({ zone, machineClass, reclaimable }) =>
          zone === server.spec.zone && machineClass === server.spec.machineClass && reclaimable,
      );
      // The reclaims of an hour happen within ten minutes, because the run is short.
      const reclaimProbability = ((offer?.reclaimsPerHour ?? 0) * INTERVAL_MS) / (10 * MINUTE_MS);
      if (world.random.chance(reclaimProbability)) reclaimServer(world, server.spec.id, NOTICE_MS);
    }
    world.queue.at(world.queue.nowMs() + INTERVAL_MS, reclaimSome);
  };
  world.queue.at(INTERVAL_MS, reclaimSome);
}

/** Returns the scenario with a name. */
export function scenarioOf(name: ScenarioName): Scenario {
  switch (name) {
    case ScenarioName.ordinaryDay:
      return ORDINARY_DAY;
    case ScenarioName.zoneReclaimed:
      return { ...ORDINARY_DAY, name, patientFactor: () => 1.2, scheduleEvents: reclaimZoneAtPeak };
    case ScenarioName.wavesRefused:
      return { ...ORDINARY_DAY, name, scheduleEvents: reclaimZonesInTurn };
    case ScenarioName.draftRush:
      return { ...ORDINARY_DAY, name, patientFactor: rushFactor, promptFactor: 2 };
    case ScenarioName.noisyWorkspace:
      return { ...ORDINARY_DAY, name, noisyFactor: 8 };
    case ScenarioName.tableAway:
      return {
        ...ORDINARY_DAY,
        name,
        lengthMs: HOUR_MS + 5 * MINUTE_MS,
        scheduleEvents: takeTableDown,
      };
    case ScenarioName.siteMove:
      return { ...ORDINARY_DAY, name, hasSecondSite: true, scheduleEvents: moveToSecondSite };
  }
}

function reclaimZoneAtPeak(world: World): void {
  const zone = world.options.settings.zones[0]?.name ?? '';
  world.queue.at(2 * MINUTE_MS, () => reclaimZone(world, zone, NOTICE_MS));
}

function reclaimZonesInTurn(world: World): void {
  const { zones } = world.options.settings;
  for (const [index, zone] of zones.entries()) {
    const atMs = MINUTE_MS + index * MINUTE_MS;
    world.queue.at(atMs, () => {
      world.faults.refuseStartsUntilMs = world.queue.nowMs() + 30_000;
      reclaimZone(world, zone.name, NOTICE_MS);
    });
  }
}

function rushFactor(atMs: number): number {
  return atMs > MINUTE_MS && atMs < 3 * MINUTE_MS ? 1.8 : 0.8;
}

function takeTableDown(world: World): void {
  scheduleReclaims(world);
  world.queue.at(2 * MINUTE_MS, () => {
    world.faults.tableDownUntilMs = world.queue.nowMs() + HOUR_MS;
  });
}

/** Lets an operator confirm a plan that moves the pool to the second site over two minutes. */
function moveToSecondSite(world: World): void {
  const [pool] = world.options.settings.pools;
  const [first] = world.options.settings.zones;
  const box = world.boxes.values().next().value;
  if (pool === undefined || first === undefined || box === undefined) return;
  const toSite = `${first.site}-new`;
  world.observer.onOperator = (askId, answer) => {
    if (answer.kind !== 'planned') return;
    const epochMs = world.epochStartMs + world.queue.nowMs();
    const ask = { kind: 'confirm', plan: answer.plan } as const;
    emit(world, box, { type: 'operatorAsked', askId: `${askId}-confirm`, ask, epochMs });
  };
  world.queue.at(30_000, () => {
    const epochMs = world.epochStartMs + world.queue.nowMs();
    const intent = {
      kind: 'movePool',
      model: pool.model,
      toSite,
      startsAtEpochMs: epochMs + 30_000,
      endsAtEpochMs: epochMs + 30_000 + 2 * MINUTE_MS,
      steps: 8,
    } as const;
    const ask = { kind: 'plan', operatorId: 'operator', planId: 'move', intent } as const;
    emit(world, box, { type: 'operatorAsked', askId: 'move', ask, epochMs });
  });
}
