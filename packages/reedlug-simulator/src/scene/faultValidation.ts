/** Validation of the faults of a scene. */
import { z } from 'zod';

const positive = z.number().positive();
const nonNegative = z.number().min(0);
const share = z.number().min(0).max(1);
const count = z.number().int().positive();

const startFields = { atS: nonNegative };
const spanFields = { ...startFields, forS: positive };
/** Schema of a fault, or an action of the operators, at a time. */
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('killBoxes'), ...startFields, share, downS: positive }),
  z.strictObject({ kind: z.literal('rollBoxes'), ...startFields, share, gapS: positive }),
  /** A share of the events throws at a random place of the reducer of its box. */
  z.strictObject({ kind: z.literal('throwExceptions'), ...spanFields, share }),
  z.strictObject({ kind: z.literal('cutZone'), ...spanFields, zone: z.string() }),
  z.strictObject({
    kind: z.literal('reclaimZone'),
    ...startFields,
    noticeS: positive,
    dryS: nonNegative,
    zone: z.string().optional(),
  }),
  z.strictObject({ kind: z.literal('crashEngines'), ...startFields, share, silent: z.boolean() }),
  /** Engines restart under the same ids with no state. */
  z.strictObject({
    kind: z.literal('restartEngines'),
    ...startFields,
    share,
    downS: positive,
    /** Whether their registry entries contain the time of their start. */
    tellsBirth: z.boolean().default(true),
    /** Whether each comes back with a new software version. */
    newVersion: z.boolean().optional(),
  }),
  /** Requests that crash every server that runs them; they come again under other ids. */
  z.strictObject({
    kind: z.literal('endingRequests'),
    ...spanFields,
    class: z.string(),
    /**
     * Where the prompts hold a part that crashes servers, in requests of which no two are alike; without
     * it the whole request does.
     */
    part: z.enum(['first', 'middle']).optional(),
    /** Number of different requests or parts, and how many copies of each arrive at once. */
    count: count.default(1),
    copies: count.default(1),
    everyMs: positive.default(300),
    /** How long a server runs such a request before it crashes, and how long the server is down. */
    runMs: nonNegative.default(60),
    downS: positive.default(2.5),
    tellsBirth: z.boolean().default(true),
  }),
  /**
   * Overloaded servers state a limit of requests per second, optionally another one after half of
   * the time, then none.
   */
  z.strictObject({
    kind: z.literal('limitServers'),
    ...spanFields,
    service: z.string().min(1),
    share,
    perSecond: nonNegative,
    thenPerSecond: nonNegative.optional(),
    /** Whether they reject, as not run, requests that exceed the limit within a second. */
    turnsDown: z.boolean().default(false),
  }),
  /** Servers announce only in their answers that they drain, serve for a while longer, and then end or restart. */
  z.strictObject({
    kind: z.literal('leaveServers'),
    ...startFields,
    service: z.string().min(1),
    share,
    endAfterS: positive,
    nextLifeAfterS: positive.optional(),
    tellsBirth: z.boolean().default(true),
  }),
  /**
   * Servers say only in the registry that they leave, and serve on for a while. A share of the boxes
   * loses the answers that tell: as many in a row as `answers`.
   */
  z.strictObject({
    kind: z.literal('leaveUnheard'),
    ...startFields,
    service: z.string().min(1),
    share,
    boxShare: share,
    answers: count,
    endAfterS: positive,
  }),
  /** Servers refuse a share of their requests, as not run, and may request a pause. */
  z.strictObject({
    kind: z.literal('restServers'),
    ...spanFields,
    service: z.string().min(1),
    share,
    refuseShare: share.default(1),
    restS: positive.optional(),
  }),
  /**
   * The servers of a service state that they are brittle: after a while fewer requests may wait, and a
   * server that rejects too many in a second for want of room crashes.
   */
  z.strictObject({
    kind: z.literal('brittleServers'),
    ...spanFields,
    service: z.string().min(1),
    rejectionsPerSecond: count.default(5),
    queueAfterS: nonNegative.default(3),
    queue: z.number().int().min(0).default(1),
    downS: positive.default(4),
  }),
  /**
   * A share of a service's servers is replaced by servers of a new software version, without an order to
   * the boxes; the replaced servers drain.
   */
  z.strictObject({
    kind: z.literal('mixVersions'),
    ...startFields,
    service: z.string().min(1),
    share,
  }),
  /**
   * A share of a service's servers ends with their registry entries, and one of another version starts at
   * once for each, under its id or a new one: of a new version, or of the one that all had at first.
   */
  z.strictObject({
    kind: z.literal('swapVersion'),
    ...startFields,
    service: z.string().min(1),
    share,
    keepsIds: z.boolean(),
    isNewVersion: z.boolean(),
  }),
  /** All servers of one of a service's versions end at once, unless it has only one. */
  z.strictObject({ kind: z.literal('endVersion'), ...startFields, service: z.string().min(1) }),
  /** Callers lose the connections of a share of their streams, and take these up. */
  z.strictObject({ kind: z.literal('breakStreams'), ...spanFields, share }),
  z.strictObject({ kind: z.literal('failRequests'), ...spanFields, share }),
  z.strictObject({
    kind: z.literal('burst'),
    ...spanFields,
    factor: positive,
    class: z.string().optional(),
  }),
  z.strictObject({ kind: z.literal('hotWorkspace'), ...spanFields, factor: positive }),
  /** The operators write a configuration whose limits are the scene's times the factor. */
  z.strictObject({ kind: z.literal('changeLimits'), ...startFields, factor: positive }),
  /** New boxes join in each zone. */
  z.strictObject({ kind: z.literal('addBoxes'), ...startFields, perZone: count }),
  z.strictObject({ kind: z.literal('storeAway'), ...spanFields }),
  /** The store goes down and is restored from a backup of age `ageS`. */
  z.strictObject({
    kind: z.literal('copyStore'),
    ...startFields,
    ageS: nonNegative,
    awayS: nonNegative.default(0.5),
    /**
     * Time within which the operators and the servers rewrite what was lost; 0 rewrites it at the
     * moment of the restore.
     */
    againWithinS: nonNegative.default(1.2),
    /** Number of versions that other writers use right after the restore. */
    otherWrites: z.number().int().min(0).default(0),
  }),
  z.strictObject({ kind: z.literal('callersLeave'), ...spanFields, share }),
  z.strictObject({
    kind: z.literal('rollout'),
    ...startFields,
    service: z.string().min(1),
    durationS: positive,
    /** Time from the order until the servers of the new version have started. */
    startS: nonNegative.default(4),
    /** Share of failed answers and slowdown factor of the new version, starting `badFromS` after the order. */
    failShare: share.default(0),
    slowFactor: positive.default(1),
    badFromS: nonNegative.default(0),
    /**
     * Restricts the fault to requests of one class, or to those that find at least this many open
     * requests at their server.
     */
    class: z.string().optional(),
    badFromOpen: z.number().int().min(0).default(0),
  }),
]);
