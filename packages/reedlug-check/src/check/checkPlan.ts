/** Generates the whole plan of a checked run from its seed in advance, so that it can be shrunk. */
import { createRandom, type Random } from 'reedlug-standins';
import { CHECK_WORKSPACES, CHECK_ZONES, checkSettings } from './checkSettings.js';

/** Kinds of faults that a checked run can inject. */
export const FaultKind = {
  reclaimServer: 'reclaimServer',
  reclaimZone: 'reclaimZone',
  partialNotice: 'partialNotice',
  killServer: 'killServer',
  stallServer: 'stallServer',
  engineChanged: 'engineChanged',
  refuseStarts: 'refuseStarts',
  killBox: 'killBox',
  pauseBox: 'pauseBox',
  stopBox: 'stopBox',
  reclaimBox: 'reclaimBox',
  tableDown: 'tableDown',
  tableSlow: 'tableSlow',
  loseAnswers: 'loseAnswers',
  cutPlatform: 'cutPlatform',
  cutZones: 'cutZones',
  staleList: 'staleList',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Faults that are announced in advance or that must not lose any accepted request. */
export const BENIGN_FAULTS: readonly FaultKind[] = [
  FaultKind.reclaimServer,
  FaultKind.reclaimZone,
  FaultKind.refuseStarts,
  FaultKind.stopBox,
  FaultKind.reclaimBox,
  FaultKind.staleList,
];

/** One fault. `target` and `other` select among what exists when the fault is injected. */
export interface PlannedFault {
  atMs: number;
  kind: FaultKind;
  /** Fraction in [0, 1) that selects the server, box or zone. */
  target: number;
  other: number;
  durationMs: number;
}

/** Kinds of callers' requests. */
export const CallKind = {
  lookUp: 'lookUp',
  notice: 'notice',
  unkeyedChange: 'unkeyedChange',
  draft: 'draft',
  urgentDraft: 'urgentDraft',
  singleDraft: 'singleDraft',
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** One planned request of a caller. */
export interface PlannedCall {
  atMs: number;
  kind: CallKind;
  requestId: string;
  workspaceId: string;
  /** Fraction in [0, 1) that selects the entry box. */
  box: number;
  key: string | undefined;
  conversation: number;
  promptTokens: number;
  maxTokens: number;
  /** Time from the call until the caller disconnects; undefined if it stays connected. */
  goneAfterMs: number | undefined;
}

/** Two operators who try to change the same item. */
export interface PlannedRace {
  atMs: number;
  kind: 'setLimits' | 'setPriority' | 'setEngine';
  item: number;
  boxes: [number, number];
  secondAfterMs: number;
}

/** Everything that is planned for a run. */
export interface CheckPlan {
  seed: number;
  lengthMs: number;
  calls: PlannedCall[];
  faults: PlannedFault[];
  races: PlannedRace[];
}

/** Time before the first fault, in which the boxes discover each other. */
const WARM_UP_MS = 2500;
const CALLS_PER_SECOND = 12;
const RACE_COUNT = 4;

/** Generates the plan of a seed. */
export function generatePlan(params: {
  seed: number;
  lengthMs: number;
  faultCount: number;
  kinds: readonly FaultKind[];
}): CheckPlan {
  const random = createRandom(params.seed);
  const { lengthMs } = params;
  return {
    seed: params.seed,
    lengthMs,
    calls: generateCalls(random, params.seed, lengthMs),
    faults: generateFaults(random, lengthMs, params.faultCount, params.kinds),
    races: generateRaces(random, lengthMs),
  };
}

function generateFaults(
  random: Random,
  lengthMs: number,
  count: number,
  kinds: readonly FaultKind[],
): PlannedFault[] {
  const faults = Array.from({ length: count }, () => ({
    atMs: WARM_UP_MS + random.unit() * (lengthMs - WARM_UP_MS),
    kind: random.pick(kinds),
    target: random.unit(),
    other: random.unit(),
    durationMs: 500 + random.unit() * 4500,
  }));
  // Every third fault is injected within 200 ms of the previous one, so that their effects combine.
  for (const [index, fault] of faults.entries()) {
    const previous = faults[index - 1];
    if (index % 3 === 2 && previous !== undefined) fault.atMs = previous.atMs + random.unit() * 200;
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

function generateCalls(random: Random, seed: number, lengthMs: number): PlannedCall[] {
  const calls: PlannedCall[] = [];
  const kinds = [
    ...Array<CallKind>(4).fill(CallKind.lookUp),
    ...Array<CallKind>(3).fill(CallKind.notice),
    CallKind.unkeyedChange,
    ...Array<CallKind>(4).fill(CallKind.draft),
    CallKind.urgentDraft,
    CallKind.singleDraft,
  ];
  let atMs = WARM_UP_MS - 500;
  while (atMs < lengthMs) {
    atMs += random.exponential(1000 / CALLS_PER_SECOND);
    const call = generateCall(random, `r${seed}-${calls.length}`, random.pick(kinds), atMs);
    calls.push(call);
    if (call.key !== undefined) calls.push(...generateDuplicates(random, call));
  }
  return calls.sort((a, b) => a.atMs - b.atMs);
}

function generateCall(
  random: Random,
  requestId: string,
  kind: CallKind,
  atMs: number,
): PlannedCall {
  const isDraft = kind === CallKind.draft || kind === CallKind.singleDraft;
  return {
    atMs,
    kind,
    requestId,
    workspaceId: random.pick(CHECK_WORKSPACES),
    box: random.unit(),
    key: kind === CallKind.notice ? `key-${requestId}` : undefined,
    conversation: random.whole(1, 60),
    promptTokens: isDraft ? random.whole(100, 4000) : 40,
    maxTokens: isDraft ? random.whole(20, 250) : 8,
    goneAfterMs: random.chance(0.05) ? random.unit() * 500 : undefined,
  };
}

/** Returns up to three repeats of a call under the same key, at random boxes and times. */
function generateDuplicates(random: Random, call: PlannedCall): PlannedCall[] {
  const duplicates: PlannedCall[] = [];
  for (let index = 1; random.chance(0.5) && index < 4; index += 1) {
    duplicates.push({
      ...call,
      requestId: `${call.requestId}-again${index}`,
      atMs: call.atMs + random.pick([0, 1, 20, 300, 2500]) * random.unit(),
      box: random.unit(),
      goneAfterMs: undefined,
    });
  }
  return duplicates;
}

function generateRaces(random: Random, lengthMs: number): PlannedRace[] {
  return Array.from({ length: RACE_COUNT }, (_, index) => ({
    atMs: WARM_UP_MS + random.unit() * (lengthMs - WARM_UP_MS),
    kind: (['setLimits', 'setPriority', 'setEngine'] as const)[index % 3] ?? 'setLimits',
    item: random.unit(),
    boxes: [random.unit(), random.unit()] as [number, number],
    secondAfterMs: random.pick([0, 5, 400]),
  }));
}

/** Ids of the boxes in every checked run. */
export const CHECK_BOX_IDS: readonly string[] = checkSettings().boxes.map(({ id }) => id);

/** Returns the element that a fraction in [0, 1) selects; undefined for an empty list. */
export function elementAtFraction<T>(items: readonly T[], fraction: number): T | undefined {
  return items[Math.floor(fraction * items.length)];
}

/** Returns the zone that a fraction in [0, 1) selects. */
export function zoneAtFraction(fraction: number): string {
  return elementAtFraction(CHECK_ZONES, fraction) ?? CHECK_ZONES[0];
}
