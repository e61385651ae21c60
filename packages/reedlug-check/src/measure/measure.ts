/** Measures a policy in a scenario: the reducers and fakes under virtual time. */
import { Outcome } from 'reedlug-coordination';
import type { DecisionSettings, OfferSpec } from 'reedlug-decisions';
import { carryOut } from '../world/carryOut.js';
import { engineOptionsOf } from '../world/engineFigures.js';
import { createWorld, runUntil } from '../world/world.js';
import type { World, WorldEngine } from '../world/worldTypes.js';
import { settingsFor, type PolicyVariant } from './policyVariants.js';
import { scenarioOf, type Scenario, type ScenarioName } from './scenario.js';
import { createWorkload, type Sample, type Workload } from './workload.js';

/** Latency of one class, in ms. */
export interface ClassLatency {
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

/** What a run measured. */
export interface Measurement {
  scenario: ScenarioName;
  policy: PolicyVariant;
  seed: number;
  /** Answers of engines within the latency target. */
  answersWithinTarget: number;
  cost: number;
  costPerThousandWithinTarget: number;
  promptTokens: number;
  recomputedTokens: number;
  recomputedShare: number;
  firstToken: { urgent: ClassLatency; patient: ClassLatency };
  whole: { urgent: ClassLatency; patient: ClassLatency; lookUp: ClassLatency };
  betweenTokensP95Ms: number;
  /** Share of urgent answers past the target or not answered. */
  urgentMissShare: number;
  refused: { urgent: number; patient: number };
  lost: { urgent: number; patient: number };
  /** Answers of the busiest patient workspace over those of the least busy one. */
  busiestOverLeast: number;
  events: number;
}

/** Engine figures of the fakes. */
export interface EngineFigures {
  kvCapacityTokens: number;
  prefillTokensPerMs: number;
  interTokenMs: number;
  crowding: number;
  serviceAnswerMs: number;
}

/** What to measure. */
export interface MeasureOptions {
  settings: Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'>;
  engines: EngineFigures;
  scenario: ScenarioName;
  policy: PolicyVariant;
  seed: number;
  /** No drafts at all, for the urgent figures that drafts are held against. */
  withoutDrafts?: boolean;
}

/** First token of 95 in 100, in ms: urgent as the letter has it, patient as a draft may wait. */
const TARGET_MS = { urgent: 880, patient: 3000 } as const;
const DRAIN_MS = 60_000;
const HOUR_MS = 3_600_000;
const TICK_MS = 50;
const ENGINE_START_MS = 20_000;

/** Runs one measurement. */
export function measure(options: MeasureOptions): Measurement {
  const scenario = adjusted(scenarioOf(options.scenario), options.withoutDrafts ?? false);
  const given = scenario.twoSites ? withSecondSite(options.settings) : options.settings;
  const settings = settingsFor(given, options.policy);
  const world = worldFor(options, settings);
  const engines = options.settings.servers.filter(({ kind }) => kind === 'engine').length;
  const workload = createWorkload(world, scenario, engines);
  scenario.happen(world);
  runUntil(world, scenario.lengthMs + DRAIN_MS);
  return summarise(options, world, scenario, workload);
}

function adjusted(scenario: Scenario, withoutDrafts: boolean): Scenario {
  return withoutDrafts ? { ...scenario, patientFactor: () => 0, noisyFactor: 1 } : scenario;
}

function worldFor(
  options: MeasureOptions,
  settings: Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'>,
): World {
  const { serviceAnswerMs, ...figures } = options.engines;
  return createWorld(
    {
      seed: options.seed,
      settings,
      engineOptions: (spec) => engineOptionsOf(spec, figures, 8),
      serviceAnswerMs,
      crossZoneMs: settings.policy.crossZoneMs,
      tickMs: TICK_MS,
      engineStartMs: ENGINE_START_MS,
      mutations: new Set(),
      doubledEvents: 0,
    },
    carryOut,
  );
}

/** A second site as large as the first, with empty caches. */
function withSecondSite(settings: MeasureOptions['settings']): MeasureOptions['settings'] {
  const renamed = (name: string): string => `${name}-new`;
  return {
    ...settings,
    zones: [
      ...settings.zones,
      ...settings.zones.map(({ name, site }) => ({ name: renamed(name), site: renamed(site) })),
    ],
    boxes: [
      ...settings.boxes,
      ...settings.boxes.map((box) => ({ ...box, id: renamed(box.id), zone: renamed(box.zone) })),
    ],
    servers: [
      ...settings.servers,
      ...settings.servers.map((spec) => ({
        ...spec,
        id: renamed(spec.id),
        zone: renamed(spec.zone),
      })),
    ],
    offers: [
      ...settings.offers,
      ...settings.offers.map((offer) => ({ ...offer, zone: renamed(offer.zone) })),
    ],
  };
}

function summarise(
  options: MeasureOptions,
  world: World,
  scenario: Scenario,
  workload: Workload,
): Measurement {
  const { samples } = workload;
  const engine = samples.filter(({ kind }) => kind === 'engine');
  const urgent = engine.filter(({ requestClass }) => requestClass === 'urgent');
  const patient = engine.filter(({ requestClass }) => requestClass === 'patient');
  const lookUps = samples.filter(({ kind }) => kind === 'service');
  const within = engine.filter(withinTarget).length;
  const cost = costOf(world, options.settings.offers, scenario.lengthMs);
  return {
    scenario: options.scenario,
    policy: options.policy,
    seed: options.seed,
    answersWithinTarget: within,
    cost,
    costPerThousandWithinTarget: (cost / Math.max(1, within)) * 1000,
    promptTokens: workload.promptTokens,
    recomputedTokens: workload.recomputedTokens,
    recomputedShare: workload.recomputedTokens / Math.max(1, workload.promptTokens),
    firstToken: { urgent: firstTokens(urgent), patient: firstTokens(patient) },
    whole: { urgent: wholes(urgent), patient: wholes(patient), lookUp: wholes(lookUps) },
    betweenTokensP95Ms: percentile(
      completed(engine).map((sample) => sample.betweenTokensMs),
      95,
    ),
    urgentMissShare: 1 - urgent.filter(withinTarget).length / Math.max(1, urgent.length),
    refused: counts(samples, isRefused),
    lost: counts(samples, isLost),
    busiestOverLeast: busiestOverLeast(patient),
    events: world.eventCount,
  };
}

function completed(samples: readonly Sample[]): Sample[] {
  return samples.filter(({ outcome }) => outcome === Outcome.completed);
}

function withinTarget(sample: Sample): boolean {
  if (sample.outcome !== Outcome.completed || sample.firstTokenMs === undefined) return false;
  return sample.firstTokenMs <= TARGET_MS[sample.requestClass];
}

function isRefused(sample: Sample): boolean {
  return sample.outcome === Outcome.notRun;
}

/** Accepted and not answered. */
function isLost(sample: Sample): boolean {
  return sample.outcome === Outcome.failed || sample.outcome === Outcome.unknown;
}

function counts(
  samples: readonly Sample[],
  fits: (sample: Sample) => boolean,
): { urgent: number; patient: number } {
  const fitting = samples.filter(fits);
  const urgent = fitting.filter(({ requestClass }) => requestClass === 'urgent').length;
  return { urgent, patient: fitting.length - urgent };
}

function firstTokens(samples: readonly Sample[]): ClassLatency {
  return latency(completed(samples).map(({ firstTokenMs }) => firstTokenMs ?? 0));
}

function wholes(samples: readonly Sample[]): ClassLatency {
  return latency(completed(samples).map(({ wholeMs }) => wholeMs));
}

function latency(values: readonly number[]): ClassLatency {
  return {
    p50Ms: percentile(values, 50),
    p95Ms: percentile(values, 95),
    p99Ms: percentile(values, 99),
  };
}

/** Nearest-rank percentile; 0 for no values. */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.max(0, Math.ceil((percent / 100) * sorted.length) - 1);
  return Math.round((sorted[rank] ?? 0) * 100) / 100;
}

function busiestOverLeast(samples: readonly Sample[]): number {
  const answered = new Map<string, number>();
  for (const { workspaceId } of completed(samples)) {
    answered.set(workspaceId, (answered.get(workspaceId) ?? 0) + 1);
  }
  const sums = [...answered.values()];
  if (sums.length === 0) return 0;
  return Math.round((Math.max(...sums) / Math.min(...sums)) * 100) / 100;
}

/** What the engines cost from the start to the end of the load. */
function costOf(world: World, offers: readonly OfferSpec[], lengthMs: number): number {
  let cost = 0;
  const engines = [...world.servers.values(), ...world.gone].filter(
    (server): server is WorldEngine => server.kind === 'engine',
  );
  for (const engine of engines) {
    if (engine.spec.zone.endsWith('-new')) continue;
    const endMs = Math.min(lengthMs, engine.endedAtMs ?? lengthMs);
    const hours = Math.max(0, endMs - engine.startedAtMs) / HOUR_MS;
    cost += hours * priceOf(offers, engine);
  }
  return Math.round(cost * 10_000) / 10_000;
}

function priceOf(offers: readonly OfferSpec[], { spec }: WorldEngine): number {
  const offer = offers.find(
    ({ zone, machineClass, reclaimable }) =>
      zone === spec.zone && machineClass === spec.machineClass && reclaimable === spec.reclaimable,
  );
  return offer?.pricePerHour ?? 0;
}
