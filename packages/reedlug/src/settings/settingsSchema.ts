/** Schema of the settings file, with the default of each key. */
import { z } from 'zod';
import { DEFAULT_CONTROL, DEFAULT_POLICY, RequestClass } from 'reedlug-decisions';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/i, 'must be 1 to 63 letters, digits, dots and dashes');
const ipPort = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IP address and port such as 10.0.0.5:8080');
const url = z.string().regex(/^https?:\/\/[^/]+/, 'must be a URL such as http://10.0.0.7:8000');
const sha256 = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the key in hex; see reedlug settings hash-key');
const positive = z.number().positive();
const nonNegative = z.number().nonnegative();
const positiveInteger = z.number().int().positive();
const requestClass = z.enum([RequestClass.urgent, RequestClass.patient]);

/** Returns the schema of an optional section in which each key has its own default. */
function withDefaults<T extends object>(
  defaults: T,
  shape: { [K in keyof T]: z.ZodType<T[K]> },
): z.ZodType<T> {
  const shapeWithDefaults = Object.fromEntries(
    Object.entries(shape).map(([key, type]) => [
      key,
      (type as z.ZodType).default(defaults[key as keyof T] as never),
    ]),
  );
  return z.strictObject(shapeWithDefaults).default(defaults as never) as unknown as z.ZodType<T>;
}

const weights = z.strictObject({
  recomputePerThousandTokens: nonNegative.default(
    DEFAULT_POLICY.weights.recomputePerThousandTokens,
  ),
  waitPerSecond: nonNegative.default(DEFAULT_POLICY.weights.waitPerSecond),
});

const policy = withDefaults(DEFAULT_POLICY, {
  routing: z.enum(['affinity', 'roundRobin', 'leastRequests', 'stickyHash']),
  window: z.enum(['fixed', 'cacheAware']),
  placement: z.enum(['effectivePrice', 'cheapestFirst', 'onDemandOnly']),
  sizing: z.enum(['byLoad', 'fixed']),
  targetUse: z.number().gt(0).lte(1),
  kvMove: z.boolean(),
  routeOverSite: z.boolean(),
  weights,
  urgentReservedSlots: z.number().int().nonnegative(),
  patientFloorEvery: positiveInteger,
  longestHoldMs: nonNegative,
  engineQueueAllowance: z.number().int().nonnegative(),
  retryShare: nonNegative,
  retryCapacity: positiveInteger,
  retryBaseMs: positive,
  retryCapMs: positive,
  secondTryAfterMs: positive,
  urgentTargetMs: positive,
  patientTargetMs: positive,
  haltMissShare: z.number().gt(0).lte(1),
  prefillTokensPerMs: positive,
  interTokenMs: positive,
  kvTokensPerMs: positive,
  crossZoneMs: nonNegative,
});

const control = withDefaults(
  DEFAULT_CONTROL,
  Object.fromEntries(Object.keys(DEFAULT_CONTROL).map((key) => [key, positive])) as {
    [K in keyof typeof DEFAULT_CONTROL]: typeof positive;
  },
);

const callerLimits = z.strictObject({
  maxBodyBytes: positiveInteger.default(1_048_576),
  maxHeaderBytes: positiveInteger.default(16_384),
  headersTimeoutMs: positive.default(5000),
  requestTimeoutMs: positive.default(30_000),
  maxTokensDefault: positiveInteger.default(256),
  maxTokensLimit: positiveInteger.default(16_384),
  deadlineDefaultMs: positive.default(120_000),
  urgentDeadlineDefaultMs: positive.default(5000),
  deadlineLimitMs: positive.default(3_600_000),
});

const platform = z.strictObject({
  tableUrl: url,
  objectStoreUrl: url,
  cloudUrl: url,
  boxListUrl: url,
  weightStoreUrl: url,
  timeoutMs: positive.default(1000),
  requestsPerSecond: positive.default(200),
  boxListEveryMs: positive.default(2000),
  noticesEveryMs: positive.default(250),
});

const standins = z.strictObject({
  /** One-way network latency between zones. */
  zoneLatencyMs: nonNegative.default(1.5),
  kvCapacityTokens: positiveInteger.default(120_000),
  prefillTokensPerMs: positive.default(8),
  interTokenMs: positive.default(25),
  crowding: nonNegative.default(0.5),
  serviceAnswerMs: nonNegative.default(5),
});

/** Schema of the whole file. */
export const settingsSchema = z.strictObject({
  box: name.optional(),
  deployment: name,
  zones: z.array(z.strictObject({ name, site: name })).min(1),
  boxes: z.array(z.strictObject({ id: name, zone: name, callers: ipPort, peers: ipPort })).min(1),
  peerSecret: z.string().min(16, 'must be 16 characters or more').optional(),
  peerSecretFile: z.string().optional(),
  peerTls: z
    .strictObject({ keyFile: z.string(), certFile: z.string(), caFile: z.string() })
    .optional(),
  platform,
  engines: z.array(
    z.strictObject({
      id: name,
      zone: name,
      model: name,
      version: z.string().default(''),
      slots: positiveInteger,
      address: url,
      machineClass: name.default('standard'),
      reclaimable: z.boolean(),
      checksFence: z.boolean(),
    }),
  ),
  services: z
    .array(
      z.strictObject({
        id: name,
        zone: name,
        service: name,
        slots: positiveInteger.default(64),
        address: url,
      }),
    )
    .default([]),
  routes: z
    .array(
      z.strictObject({
        service: name,
        method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
        repeatable: z.boolean(),
        requestClass: requestClass.optional(),
        deadlineMs: positive.optional(),
      }),
    )
    .default([]),
  deduplicatingServices: z.array(name).default([]),
  workspaces: z
    .array(
      z.strictObject({
        id: name,
        keySha256: sha256,
        requestsPerSecond: positive,
        burst: positive,
        maxQueued: positiveInteger.default(500),
        requestClass: requestClass.optional(),
      }),
    )
    .min(1),
  operators: z.array(z.strictObject({ id: name, keySha256: sha256 })).default([]),
  offers: z
    .array(
      z.strictObject({
        machineClass: name,
        zone: name,
        reclaimable: z.boolean(),
        pricePerHour: positive,
        reclaimsPerHour: nonNegative,
      }),
    )
    .default([]),
  pools: z
    .array(
      z.strictObject({
        model: name,
        version: z.string().default(''),
        slotsPerEngine: positiveInteger,
        minEngines: positiveInteger,
        maxEngines: positiveInteger,
        onDemandFloor: z.number().int().nonnegative(),
        checksFence: z.boolean().default(true),
      }),
    )
    .default([]),
  policy,
  control,
  callers: callerLimits.prefault({}),
  metrics: z
    .strictObject({
      host: z.string(),
      port: positiveInteger,
      prefix: z.string().default('reedlug.'),
    })
    .optional(),
  standins: standins.prefault({}),
});
