/** Checks a scene's file and tells all of its faults with their lines. */
import { parseLocatedYaml } from 'reedlug-gateway';
import { z } from 'zod';
import type { Scene } from './scene.js';

const positive = z.number().positive();
const nonNegative = z.number().min(0);
const share = z.number().min(0).max(1);
const count = z.number().int().positive();
const size = z.strictObject({ mean: positive, spread: nonNegative.default(0) });

const engineSchema = z.strictObject({
  slots: count,
  queue: count.default(100),
  kvTokens: count,
  stepMs: positive,
  stepMsPerRun: nonNegative.default(0),
  readTokensPerMs: positive,
  readMsPerMillionPairs: nonNegative.default(0),
  chunkTokens: count.default(2048),
  tokensPerEvent: count.default(1),
  firstMs: nonNegative.default(0),
});

const serviceSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engines'),
    name: z.string().min(1),
    /** On-demand engines at the start, in each zone. */
    perZone: count,
    engine: engineSchema,
    bootMs: positive,
    maxPerZone: count,
    reclaimablePriceShare: z.number().positive().max(1).optional(),
    heartbeatMs: positive.default(1200),
    /** Time in which those that stand at the start have entered themselves. */
    entrySpreadMs: positive.default(1200),
  }),
  z.strictObject({
    kind: z.literal('plain'),
    name: z.string().min(1),
    perZone: count,
    slots: count,
    queue: z.number().int().min(0).default(24),
  }),
]);

const classSchema = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  kind: z.enum(['repeatable', 'nonRepeatable', 'stream']),
  resumable: z.boolean().default(false),
  /** Relative to the other classes. */
  weight: positive,
  worth: positive.default(1),
  lateWorthShare: share.default(0.1),
  targetMs: positive,
  gapTargetMs: positive.optional(),
  deadlineMs: positive,
  priority: z.number().int().min(0).default(0),
  maxAttempts: count.default(1),
  retries: z.number().int().min(0).default(1),
  /** Different bodies of all its requests; each has its own when left out. */
  bodies: count.optional(),
  /** Parts of the prompt that others share, in order: how many there are of each, and how long they are. */
  sharedParts: z.array(z.strictObject({ tokens: size, things: count })).default([]),
  ownTokens: size.optional(),
  events: size.optional(),
  workMs: size.optional(),
});

const startFields = { atS: nonNegative };
const spanFields = { ...startFields, forS: positive };
const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('killBoxes'), ...startFields, share, downS: positive }),
  z.strictObject({ kind: z.literal('rollBoxes'), ...startFields, share, gapS: positive }),
  z.strictObject({ kind: z.literal('cutZone'), ...spanFields, zone: z.string() }),
  z.strictObject({
    kind: z.literal('reclaimZone'),
    ...startFields,
    noticeS: positive,
    dryS: nonNegative,
    zone: z.string().optional(),
  }),
  z.strictObject({ kind: z.literal('crashEngines'), ...startFields, share, silent: z.boolean() }),
  /** They come back under their ids with nothing of before. */
  z.strictObject({
    kind: z.literal('restartEngines'),
    ...startFields,
    share,
    downS: positive,
    /** Whether their entries tell when they were born. */
    tellsBirth: z.boolean().default(true),
  }),
  /** Requests under which each server ends that runs them; they come again under other ids. */
  z.strictObject({
    kind: z.literal('endingRequests'),
    ...spanFields,
    class: z.string(),
    /** Different ones, and how many of each come at once. */
    count: count.default(1),
    copies: count.default(1),
    everyMs: positive.default(300),
    /** How long a server runs one before it ends, and how long it is away. */
    runMs: nonNegative.default(60),
    downS: positive.default(2.5),
    tellsBirth: z.boolean().default(true),
  }),
  /** Servers in need name a limit of requests a second, another one after half of the time, then none. */
  z.strictObject({
    kind: z.literal('limitServers'),
    ...spanFields,
    service: z.string().min(1),
    share,
    perSecond: nonNegative,
    thenPerSecond: nonNegative.optional(),
    /** Whether they turn down, as not run, what comes beyond it within a second. */
    turnsDown: z.boolean().default(false),
  }),
  /** Servers say in their answers alone that they leave, serve on for a while, and end or begin another life. */
  z.strictObject({
    kind: z.literal('leaveServers'),
    ...startFields,
    service: z.string().min(1),
    share,
    endAfterS: positive,
    nextLifeAfterS: positive.optional(),
    tellsBirth: z.boolean().default(true),
  }),
  /** Servers refuse a share of their requests, as not run, and may ask for rest. */
  z.strictObject({
    kind: z.literal('restServers'),
    ...spanFields,
    service: z.string().min(1),
    share,
    refuseShare: share.default(1),
    restS: positive.optional(),
  }),
  z.strictObject({ kind: z.literal('failRequests'), ...spanFields, share }),
  z.strictObject({
    kind: z.literal('burst'),
    ...spanFields,
    factor: positive,
    class: z.string().optional(),
  }),
  z.strictObject({ kind: z.literal('hotWorkspace'), ...spanFields, factor: positive }),
  /** A configuration with limits of so many times the scene's. */
  z.strictObject({ kind: z.literal('changeLimits'), ...startFields, factor: positive }),
  /** Boxes that were never there before join in each zone. */
  z.strictObject({ kind: z.literal('addBoxes'), ...startFields, perZone: count }),
  z.strictObject({ kind: z.literal('storeAway'), ...spanFields }),
  /** It goes away and comes back from a copy of so long before it went. */
  z.strictObject({
    kind: z.literal('copyStore'),
    ...startFields,
    ageS: nonNegative,
    awayS: nonNegative.default(0.5),
    /** Time in which the operator and the servers write again what was lost; 0 for the moment of its return. */
    againWithinS: nonNegative.default(1.2),
    /** Versions that others use up within a moment of its return. */
    otherWrites: z.number().int().min(0).default(0),
  }),
  z.strictObject({ kind: z.literal('callersLeave'), ...spanFields, share }),
  z.strictObject({
    kind: z.literal('rollout'),
    ...startFields,
    service: z.string().min(1),
    durationS: positive,
    /** From the order until the servers of the new version stand. */
    startS: nonNegative.default(4),
    /** Share of its answers that fail, and how many times slower it works; from some time after the order on. */
    failShare: share.default(0),
    slowFactor: positive.default(1),
    badFromS: nonNegative.default(0),
    /** Only these are failed: requests of one class, or those that find so many others at their server. */
    class: z.string().optional(),
    badFromOpen: z.number().int().min(0).default(0),
  }),
]);

const sceneSchema = z.strictObject({
  name: z.string().min(1),
  /** From the first caller to the end, and from the start of the boxes to the first caller. */
  lengthS: positive,
  leadS: nonNegative,
  zones: z.array(z.string().min(1)).min(1),
  /** Price of an engine-second by zone, in turn. */
  zonePrices: z.array(positive).min(1),
  boxesPerZone: count,
  /** Boxes with more processor time in each zone, the first ones. */
  largerBoxesPerZone: z.number().int().min(0).default(0),
  /** From the start of a box's process until it listens. */
  boxStartMs: positive,
  network: z.strictObject({
    sameZoneMs: nonNegative,
    otherZoneMs: nonNegative,
    callerMs: nonNegative,
    datagramLossShare: share.default(0),
  }),
  storeAnswerMs: positive,
  bounds: z.strictObject({
    configurationMs: positive,
    drainMs: positive,
    graceMs: positive,
    retryRatio: nonNegative,
    retrySlack: nonNegative,
    limitWindowMs: positive,
    limitOverShare: nonNegative,
    limitSlackUnits: nonNegative,
    /** What a bad version may get: a share of the requests of its service, and some on top. */
    exposeShare: share.default(0.1),
    exposeSlack: nonNegative.default(50),
    leaseMs: positive,
    usageWindowMs: nonNegative,
    usageDueMs: nonNegative,
  }),
  services: z.array(serviceSchema).min(1),
  callers: z.strictObject({
    perSecond: positive,
    /** Callers come in clumps of so many on the mean. */
    clump: positive.default(1),
    /** The rate goes up and down by this share. */
    swing: share.default(0),
    swingPeriodS: positive.default(40),
  }),
  workspaces: z.strictObject({
    count,
    /** A workspace's limit over its usual units. */
    limitOverUsual: positive,
    plainTokens: count.default(200),
  }),
  classes: z.array(classSchema).min(1),
  faults: z.array(faultSchema).default([]),
});

/** A scene as its file gives it, with defaults filled in. */
export type SceneShape = z.output<typeof sceneSchema>;

/** A fault of a scene's file. */
export interface SceneFileError {
  /** Line in the file, from 1; 0 where none is known. */
  line: number;
  /** Path of the field, by dots. */
  field: string;
  message: string;
}

/**
 * Reads a scene; tells every fault that is found, not only the first.
 * Fields that the text lacks come from `base`.
 */
export function validateScene(
  text: string,
  base: Readonly<Record<string, unknown>> = {},
): { kind: 'scene'; scene: Scene } | { kind: 'faulty'; faults: SceneFileError[] } {
  const document = parseLocatedYaml(text);
  if (document.kind === 'faulty') {
    return { kind: 'faulty', faults: document.faults.map((fault) => ({ ...fault, field: '' })) };
  }
  const { lineOf } = document;
  const own = (document.value ?? {}) as Record<string, unknown>;
  const fields = Object.entries({ ...base, ...own }).filter(([name]) => name !== 'extends');
  const parsed = sceneSchema.safeParse(Object.fromEntries(fields));
  if (!parsed.success) {
    const faults = parsed.error.issues.map(({ path, message }) => {
      return { line: lineOf(path), field: path.map(String).join('.'), message };
    });
    return { kind: 'faulty', faults };
  }
  const faults = crossFieldErrors(parsed.data).map(({ path, message }) => {
    return { line: lineOf(path), field: path.map(String).join('.'), message };
  });
  return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'scene', scene: parsed.data };
}

interface CrossFieldError {
  path: (string | number)[];
  message: string;
}

/** Faults between fields: names that nothing has, and parts that a kind of request needs. */
function crossFieldErrors(scene: SceneShape): CrossFieldError[] {
  const faults: CrossFieldError[] = [];
  const kinds = new Map(scene.services.map(({ name, kind }) => [name, kind]));
  scene.classes.forEach((spec, index) => {
    const path = ['classes', index];
    const kind = kinds.get(spec.service);
    const known = [...kinds.keys()].join(', ');
    if (kind === undefined) {
      faults.push({
        path: [...path, 'service'],
        message: `no service ${spec.service}: one of ${known}`,
      });
    }
    if (spec.kind === 'stream' && (spec.events === undefined || spec.ownTokens === undefined)) {
      faults.push({ path, message: 'a stream needs `events` and `ownTokens`' });
    }
    if (spec.kind !== 'stream' && spec.workMs === undefined) {
      faults.push({ path, message: 'a plain request needs `workMs`' });
    }
    if (kind !== undefined && (spec.kind === 'stream') !== (kind === 'engines')) {
      faults.push({
        path: [...path, 'kind'],
        message: 'streams go to engines, plain requests to plain services',
      });
    }
  });
  scene.faults.forEach((fault, index) => {
    const path = ['faults', index];
    if ('zone' in fault && fault.zone !== undefined && !scene.zones.includes(fault.zone)) {
      faults.push({ path: [...path, 'zone'], message: `no zone ${fault.zone}` });
    }
    if ('service' in fault && !kinds.has(fault.service)) {
      faults.push({ path: [...path, 'service'], message: `no service ${fault.service}` });
    }
    if (!('class' in fault) || fault.class === undefined) return;
    if (!scene.classes.some(({ name }) => name === fault.class)) {
      faults.push({ path: [...path, 'class'], message: `no class ${fault.class}` });
    }
  });
  return faults;
}
