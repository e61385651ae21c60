/** Measures a policy in a scenario by running the reducers against fakes under virtual time. */
import { Outcome } from 'reedlug-coordination';
import type { DecisionSettings, OfferSpec } from 'reedlug-decisions';
import { performEffect } from '../world/performEffect.js';
import { engineOptionsOf } from '../world/engineProfile.js';
import { createWorld, runUntil } from '../world/world.js';
import type { World, WorldEngine } from '../world/worldTypes.js';
import { settingsFor, type PolicyVariant } from './policyVariants.js';
import { scenarioOf, type Scenario, type ScenarioName } from './scenario.js';
import { createWorkload, type Sample, type Workload } from './workload.js';

/** Latency percentiles of one request class, in ms. */
export interface ClassLatency {
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

/** Result of a measurement run. */
export interface Measurement {
  scenario: ScenarioName;
  policy: PolicyVariant;
  seed: number;
  /** Number of completed engine answers whose first token came within the latency target. */
  answersWithinTarget: number;
  cost: number;
  costPerThousandWithinTarget: number;
  promptTokens: number;
  recomputedTokens: number;
  recomputedShare: number;
  firstToken: { urgent: ClassLatency; patient: ClassLatency };
  whole: { urgent: ClassLatency; patient: ClassLatency; lookUp: ClassLatency };
  betweenTokensP95Ms: number;
  /** Share of urgent requests that missed the latency target or were not answered. */
  urgentMissShare: number;
  refused: { urgent: number; patient: number };
  lost: { urgent: number; patient: number };
  /**
   * Ratio of the completed answers of the busiest patient workspace to those of the least busy
   * one that has any; 0 if none has any.
   */
  busiestOverLeast: number;
  events: number;
}

/** Performance parameters of the fake engines and services. */
export interface ServerProfile {
  kvCapacityTokens: number;
  prefillTokensPerMs: number;
  interTokenMs: number;
  crowding: number;
  serviceAnswerMs: number;
}

/** Options of a measurement. */
export interface MeasureOptions {
  settings: Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'>;
  engines: ServerProfile;
  scenario: ScenarioName;
  policy: PolicyVariant;
  seed: number;
  /** Omits all drafts, to measure the urgent latency without them as a baseline. */
  withoutDrafts?: boolean;
}

/**
 * Targets for the 95th percentile of the time to the first token, in ms; here the time of each
 * answer is compared with them. The urgent one is a requirement of the users; patient requests
 * are drafts, which may wait longer.
 */
const FIRST_TOKEN_TARGET_MS = { urgent: 880, patient: 3000 } as const;
const DRAIN_MS = 60_000;
const HOUR_MS = 3_600_000;
const TICK_MS = 50;
const ENGINE_START_MS = 20_000;

/** Runs one measurement. */
export function measure(options: MeasureOptions): Measurement {
  const scenario = applyWithoutDrafts(scenarioOf(options.scenario), options.withoutDrafts ?? false);
  const baseSettings = scenario.hasSecondSite ? withSecondSite(options.settings) : options.settings;
  const settings = settingsFor(baseSettings, options.policy);
  const world = createMeasuredWorld(options, settings);
  const engineCount = options.settings.servers.filter(({ kind }) => kind === 'engine').length;
  const workload = createWorkload(world, scenario, engineCount);
  scenario.scheduleEvents(world);
  runUntil(world, scenario.lengthMs + DRAIN_MS);
  return summarise(options, world, scenario, workload);
}

function applyWithoutDrafts(scenario: Scenario, withoutDrafts: boolean): Scenario {
  return withoutDrafts ? { ...scenario, patientFactor: () => 0, noisyFactor: 1 } : scenario;
}

function createMeasuredWorld(
  options: MeasureOptions,
  settings: Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'>,
): World {
  const { serviceAnswerMs, ...engineProfile } = options.engines;
  return createWorld(
    {
      seed: options.seed,
      settings,
      engineOptions: (spec) => engineOptionsOf(spec, engineProfile, 8),
      serviceAnswerMs,
      crossZoneMs: settings.policy.crossZoneMs,
      tickMs: TICK_MS,
      engineStartMs: ENGINE_START_MS,
      mutations: new Set(),
      duplicateEventShare: 0,
    },
    performEffect,
  );
}

/** Adds a second site of the same size as the first, with empty caches. */
function withSecondSite(settings: MeasureOptions['settings']): MeasureOptions['settings'] {
  const secondSiteName = (name: string): string => `${name}-new`;
  return {
    ...settings,
    zones: [
      ...settings.zones,
      ...settings.zones.map(({ name, site }) => ({
        name: secondSiteName(name),
        site: secondSiteName(site),
      })),
    ],
    boxes: [
      ...settings.boxes,
      ...settings.boxes.map((box) => ({
        ...box,
        id: secondSiteName(box.id),
        zone: secondSiteName(box.zone),
      })),
    ],
    servers: [
      ...settings.servers,
      ...settings.servers.map((spec) => ({
        ...spec,
        id: secondSiteName(spec.id),
        zone: secondSiteName(spec.zone),
      })),
    ],
    offers: [
      ...settings.offers,
      ...settings.offers.map((offer) => ({ ...offer, zone: secondSiteName(offer.zone) })),
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
  const engineSamples = samples.filter(({ kind }) => kind === 'engine');
  const urgent = engineSamples.filter(({ requestClass }) => requestClass === 'urgent');
  const patient = engineSamples.filter(({ requestClass }) => requestClass === 'patient');
  const lookUps = samples.filter(({ kind }) => kind === 'service');
  const withinTargetCount = engineSamples.filter(isWithinTarget).length;
  const cost = costOf(world, options.settings.offers, scenario.lengthMs);
  return {
    scenario: options.scenario,
    policy: options.policy,
    seed: options.seed,
    answersWithinTarget: withinTargetCount,
    cost,
    costPerThousandWithinTarget: (cost / Math.max(1, withinTargetCount)) * 1000,
    promptTokens: workload.promptTokens,
    recomputedTokens: workload.recomputedTokens,
    recomputedShare: workload.recomputedTokens / Math.max(1, workload.promptTokens),
    firstToken: { urgent: firstTokenLatency(urgent), patient: firstTokenLatency(patient) },
    whole: {
      urgent: wholeAnswerLatency(urgent),
      patient: wholeAnswerLatency(patient),
      lookUp: wholeAnswerLatency(lookUps),
    },
    betweenTokensP95Ms: percentile(
      completedSamples(engineSamples).map((sample) => sample.betweenTokensMs),
      95,
    ),
    urgentMissShare: 1 - urgent.filter(isWithinTarget).length / Math.max(1, urgent.length),
    refused: countByClass(samples, isRefused),
    lost: countByClass(samples, isLost),
    busiestOverLeast: busiestOverLeast(patient),
    events: world.eventCount,
  };
}

function completedSamples(samples: readonly Sample[]): Sample[] {
  return samples.filter(({ outcome }) => outcome === Outcome.completed);
}

function isWithinTarget(sample: Sample): boolean {
  if (sample.outcome !== Outcome.completed || sample.firstTokenMs === undefined) return false;
  return sample.firstTokenMs <= FIRST_TOKEN_TARGET_MS[sample.requestClass];
}

function isRefused(sample: Sample): boolean {
  return sample.outcome === Outcome.notRun;
}

/** Returns true for a request that was accepted but not answered. */
function isLost(sample: Sample): boolean {
  return sample.outcome === Outcome.failed || sample.outcome === Outcome.unknown;
}

function countByClass(
  samples: readonly Sample[],
  matches: (sample: Sample) => boolean,
): { urgent: number; patient: number } {
  const matching = samples.filter(matches);
  const urgent = matching.filter(({ requestClass }) => requestClass === 'urgent').length;
  return { urgent, patient: matching.length - urgent };
}

function firstTokenLatency(samples: readonly Sample[]): ClassLatency {
  return percentilesOf(completedSamples(samples).map(({ firstTokenMs }) => firstTokenMs ?? 0));
}

function wholeAnswerLatency(samples: readonly Sample[]): ClassLatency {
  return percentilesOf(completedSamples(samples).map(({ wholeMs }) => wholeMs));
}

function percentilesOf(values: readonly number[]): ClassLatency {
  return {
    p50Ms: percentile(values, 50),
    p95Ms: percentile(values, 95),
    p99Ms: percentile(values, 99),
  };
}

/** Returns the nearest-rank percentile of values, rounded to two decimals; 0 for no values. */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.max(0, Math.ceil((percent / 100) * sorted.length) - 1);
  return Math.round((sorted[index] ?? 0) * 100) / 100;
}

function busiestOverLeast(samples: readonly Sample[]): number {
  const answered = new Map<string, number>();
  for (const { workspaceId } of completedSamples(samples)) {
    answered.set(workspaceId, (answered.get(workspaceId) ?? 0) + 1);
  }
  const answerCounts = [...answered.values()];
  if (answerCounts.length === 0) return 0;
  return Math.round((Math.max(...answerCounts) / Math.min(...answerCounts)) * 100) / 100;
}

/** Returns the cost of the engines until the end of the load, without those of the second site. */
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
