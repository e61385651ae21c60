/** Validates a scene file and reports all of its errors with their lines. */
import { parseLocatedYaml } from 'reedlug-gateway';
import { z } from 'zod';
import { faultSchema } from './faultValidation.js';

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
    /** Number of on-demand engines in each zone at the start. */
    perZone: count,
    engine: engineSchema,
    bootMs: positive,
    maxPerZone: count,
    reclaimablePriceShare: z.number().positive().max(1).optional(),
    heartbeatMs: positive.default(1200),
    /** Speeds that engines are given in turn as they start, those ordered later included. */
    speeds: z.array(positive).min(1).default([1]),
    /** Time within which the engines of the start register. */
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
  /** Number of tries that reach no box beside those. */
  reconnects: z.number().int().min(0).default(0),
  /** Number of different request bodies; each request has its own when omitted. */
  bodies: count.optional(),
  /** Prompt parts that requests share, in order: the number of variants of each part, and their lengths. */
  sharedParts: z.array(z.strictObject({ tokens: size, things: count })).default([]),
  ownTokens: size.optional(),
  events: size.optional(),
  workMs: size.optional(),
});

const sceneSchema = z.strictObject({
  name: z.string().min(1),
  /** Time from the first caller to the end, and from the start of the boxes to the first caller. */
  lengthS: positive,
  leadS: nonNegative,
  zones: z.array(z.string().min(1)).min(1),
  /** Price of an engine-second in each zone, in the order of `zones`; the list repeats if it is shorter. */
  zonePrices: z.array(positive).min(1),
  boxesPerZone: count,
  /** Number of boxes with more processor time in each zone; the first ones have it. */
  largerBoxesPerZone: z.number().int().min(0).default(0),
  /** Time from the start of a box's process until it listens. */
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
    /** Requests that a bad version may receive: a share of its service's requests plus a constant. */
    exposeShare: share.default(0.1),
    exposeSlack: nonNegative.default(50),
    leaseMs: positive,
    usageWindowMs: nonNegative,
    usageDueMs: nonNegative,
  }),
  /** Decisions under load that the boxes' settings enable. */
  load: z
    .strictObject({
      learnServerSpeeds: z.boolean().default(false),
      placeBySize: z.boolean().default(false),
      shareCapacity: z.boolean().default(false),
      spreadRetries: z.boolean().default(false),
      reserveLimitUnits: z.boolean().default(false),
      restartReserve: z.boolean().default(false),
    })
    .prefault({}),
  services: z.array(serviceSchema).min(1),
  callers: z.strictObject({
    perSecond: positive,
    /** Mean number of callers that arrive at the same moment. */
    clump: positive.default(1),
    /** Share by which the rate oscillates. */
    swing: share.default(0),
    swingPeriodS: positive.default(40),
  }),
  workspaces: z.strictObject({
    count,
    /** Ratio of a workspace's limit to its usual units. */
    limitOverUsual: positive,
    plainTokens: count.default(200),
    /**
     * Exponent of Zipf's law for the workspaces' shares of the load, 1 if absent; 0 makes them
     * equal.
     */
    skew: nonNegative.optional(),
  }),
  classes: z.array(classSchema).min(1),
  faults: z.array(faultSchema).default([]),
});

/** A scene as read from its file, with defaults filled in. */
export type SceneShape = z.output<typeof sceneSchema>;

/** An error in a scene file. */
export interface SceneFileError {
  /** Line in the file, from 1; 0 if unknown. */
  line: number;
  /** Path of the field, separated by dots. */
  field: string;
  message: string;
}

/**
 * Parses and validates a scene; reports every error, not only the first.
 * Fields that the text lacks come from `base`.
 */
export function validateScene(
  text: string,
  base: Readonly<Record<string, unknown>> = {},
): { kind: 'scene'; scene: SceneShape } | { kind: 'faulty'; faults: SceneFileError[] } {
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

/** Returns errors between fields: unknown names, and fields that a kind of request requires. */
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
        message: `no service ${spec.service}: expected one of ${known}`,
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
