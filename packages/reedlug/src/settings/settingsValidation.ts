/**
 * Validation of the settings file, with the defaults beside the checks.
 *
 * Unknown keys, wrong types and wrong units are refused; every fault is listed
 * with its line and what would be right.
 */
import { LineCounter, parseDocument, isNode, type Document } from 'yaml';
import { z } from 'zod';
import { DEFAULT_CONTROL, DEFAULT_POLICY, RequestClass } from 'reedlug-decisions';
import type { Settings } from './settingsTypes.js';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/i, 'must be 1 to 63 letters, digits, dots and dashes');
const ipPort = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IP number and port such as 10.0.0.5:8080');
const url = z.string().regex(/^https?:\/\/[^/]+/, 'must be a URL such as http://10.0.0.7:8000');
const sha256 = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the key in hex; see reedlug settings hash-key');
const positive = z.number().positive();
const ms = z.number().nonnegative();
const count = z.number().int().positive();
const requestClass = z.enum([RequestClass.urgent, RequestClass.patient]);

/** An optional section whose keys default one by one. */
function withDefaults<T extends object>(
  defaults: T,
  shape: { [K in keyof T]: z.ZodType<T[K]> },
): z.ZodType<T> {
  const withEach = Object.fromEntries(
    Object.entries(shape).map(([key, type]) => [
      key,
      (type as z.ZodType).default(defaults[key as keyof T] as never),
    ]),
  );
  return z.strictObject(withEach).default(defaults as never) as unknown as z.ZodType<T>;
}

const weights = z.strictObject({
  recomputePerThousandTokens: ms.default(DEFAULT_POLICY.weights.recomputePerThousandTokens),
  waitPerSecond: ms.default(DEFAULT_POLICY.weights.waitPerSecond),
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
  patientFloorEvery: count,
  longestHoldMs: ms,
  engineQueueAllowance: z.number().int().nonnegative(),
  retryShare: ms,
  retryCapacity: count,
  retryBaseMs: positive,
  retryCapMs: positive,
  secondTryAfterMs: positive,
  urgentTargetMs: positive,
  patientTargetMs: positive,
  haltMissShare: z.number().gt(0).lte(1),
  prefillTokensPerMs: positive,
  interTokenMs: positive,
  kvTokensPerMs: positive,
  crossZoneMs: ms,
});

const control = withDefaults(
  DEFAULT_CONTROL,
  Object.fromEntries(Object.keys(DEFAULT_CONTROL).map((key) => [key, positive])) as {
    [K in keyof typeof DEFAULT_CONTROL]: typeof positive;
  },
);

const callerLimits = z.strictObject({
  maxBodyBytes: count.default(1_048_576),
  maxHeaderBytes: count.default(16_384),
  headersTimeoutMs: positive.default(5000),
  requestTimeoutMs: positive.default(30_000),
  maxTokensDefault: count.default(256),
  maxTokensLimit: count.default(16_384),
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
  /** Time that one way between zones takes. */
  zoneLatencyMs: ms.default(1.5),
  kvCapacityTokens: count.default(120_000),
  prefillTokensPerMs: positive.default(8),
  interTokenMs: positive.default(25),
  crowding: ms.default(0.5),
  serviceAnswerMs: ms.default(5),
});

/** The whole file. */
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
      slots: count,
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
        slots: count.default(64),
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
        maxQueued: count.default(500),
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
        reclaimsPerHour: ms,
      }),
    )
    .default([]),
  pools: z
    .array(
      z.strictObject({
        model: name,
        version: z.string().default(''),
        slotsPerEngine: count,
        minEngines: count,
        maxEngines: count,
        onDemandFloor: z.number().int().nonnegative(),
        checksFence: z.boolean().default(true),
      }),
    )
    .default([]),
  policy,
  control,
  callers: callerLimits.prefault({}),
  metrics: z
    .strictObject({ host: z.string(), port: count, prefix: z.string().default('reedlug.') })
    .optional(),
  standins: standins.prefault({}),
});

/** A fault of a settings file. */
export interface SettingsFault {
  /** Line in the file, from 1; 0 when it is not known. */
  line: number;
  path: string;
  message: string;
}

/** The checked settings, or every fault. */
export type SettingsResult =
  { kind: 'valid'; settings: Settings } | { kind: 'invalid'; faults: SettingsFault[] };

/** Checks the text of a settings file. */
export function validateSettings(text: string): SettingsResult {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    const faults = document.errors.map((error) => ({
      line: error.linePos?.[0].line ?? 0,
      path: '',
      message: error.message.split('\n')[0] ?? error.message,
    }));
    return { kind: 'invalid', faults };
  }
  const parsed = settingsSchema.safeParse(document.toJS());
  const locate = (path: readonly PropertyKey[]): number => lineOf(document, lines, path);
  if (!parsed.success) {
    return {
      kind: 'invalid',
      faults: parsed.error.issues.flatMap((issue) => faultsOf(issue, locate)),
    };
  }
  const faults = crossFaults(parsed.data).map(({ path, message }) => ({
    line: locate(path),
    path: path.join('.'),
    message,
  }));
  if (faults.length > 0) return { kind: 'invalid', faults };
  return { kind: 'valid', settings: parsed.data };
}

function faultsOf(
  issue: z.core.$ZodIssue,
  locate: (path: readonly PropertyKey[]) => number,
): SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      const message = 'unknown key; remove it or mend its name (see docs/settings.md)';
      return { line: locate(path), path: path.map(String).join('.'), message };
    });
  }
  const path = issue.path.map(String).join('.');
  return [{ line: locate(issue.path), path, message: issue.message }];
}

function lineOf(
  document: Document.Parsed,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

interface CrossFault {
  path: PropertyKey[];
  message: string;
}

/** Faults that lie between entries: names that do not exist, names used twice. */
function crossFaults(settings: Settings): CrossFault[] {
  const zones = new Set(settings.zones.map((zone) => zone.name));
  const placed = (['boxes', 'engines', 'services', 'offers'] as const).flatMap((section) =>
    settings[section].flatMap((entry, index) => zoneFault(zones, section, index, entry.zone)),
  );
  const doubled = [
    ...doubledFaults(
      'boxes',
      settings.boxes.map((box) => box.id),
    ),
    ...doubledFaults('servers', [
      ...settings.engines.map((engine) => engine.id),
      ...settings.services.map((service) => service.id),
    ]),
    ...doubledFaults(
      'workspaces',
      settings.workspaces.map((workspace) => workspace.id),
    ),
    ...doubledFaults(
      'zones',
      settings.zones.map((zone) => zone.name),
    ),
  ];
  return [...placed, ...doubled, ...boxFaults(settings), ...routeFaults(settings)];
}

function zoneFault(
  zones: ReadonlySet<string>,
  section: string,
  index: number,
  zone: string,
): CrossFault[] {
  if (zones.has(zone)) return [];
  const known = [...zones].join(', ');
  return [{ path: [section, index, 'zone'], message: `zone ${zone} is not among zones: ${known}` }];
}

function doubledFaults(section: string, ids: readonly string[]): CrossFault[] {
  const doubled = ids.filter((id, index) => ids.indexOf(id) !== index);
  return doubled.map((id) => ({ path: [section], message: `${id} stands twice; ids must differ` }));
}

function boxFaults(settings: Settings): CrossFault[] {
  const ids = settings.boxes.map((box) => box.id);
  const faults: CrossFault[] = [];
  if (settings.box !== undefined && !ids.includes(settings.box)) {
    faults.push({
      path: ['box'],
      message: `${settings.box} is not among boxes: ${ids.join(', ')}`,
    });
  }
  if (settings.peerSecret !== undefined && settings.peerSecretFile !== undefined) {
    faults.push({
      path: ['peerSecretFile'],
      message: 'give peerSecret or peerSecretFile, not both',
    });
  }
  if (settings.boxes.length > 1 && !settings.peerSecret && !settings.peerSecretFile) {
    faults.push({ path: ['boxes'], message: 'several boxes need peerSecret or peerSecretFile' });
  }
  const { leaseMarginMs, leaseRenewMs, leaseTtlMs } = settings.control;
  if (leaseMarginMs + leaseRenewMs >= leaseTtlMs) {
    const message = 'leaseMarginMs plus leaseRenewMs must be less than leaseTtlMs';
    faults.push({ path: ['control', 'leaseTtlMs'], message });
  }
  return faults;
}

function routeFaults(settings: Settings): CrossFault[] {
  const services = new Set(settings.services.map((service) => service.service));
  const known = [...services].join(', ');
  return settings.routes.flatMap((route, index) => {
    if (services.has(route.service)) return [];
    const message = `service ${route.service} is not among services: ${known}`;
    return [{ path: ['routes', index, 'service'], message }];
  });
}
