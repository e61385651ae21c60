/**
 * Validation of a gateway box's settings file (YAML).
 *
 * Every fault is reported with its path and the expected value. Unknown keys are
 * rejected, so that a misspelt key is noticed.
 */
import { parse } from 'yaml';
import en from 'zod/v4/locales/en.js';
import * as z from 'zod/mini';
import type { HostPort } from '../types/server.js';
import type { GatewaySettings } from '../types/settings.js';
import {
  DEFAULT_LIMIT_WINDOW_SECONDS,
  DEFAULT_LOAD_SETTINGS,
  DEFAULT_METRICS_PORT,
  DEFAULT_ANSWER_SETTINGS,
  DEFAULT_TUNNEL_SETTINGS,
} from './defaults.js';

z.config(en());

const MS_PER_SECOND = 1000;

/** Duties that the settings may assign to the gateway; other values are ignored. */
const Duty = { usageReports: 'usageReports', engineOrders: 'engineOrders' } as const;

const IP_NUMBER = /^(\d{1,3}\.){3}\d{1,3}$/;
const IP_AND_PORT = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;

const hostPort = z.pipe(
  z.string().check(z.regex(IP_AND_PORT, 'must be an IP number and port such as 10.0.0.5:8080')),
  z.transform(parseHostPort),
);
const name = z.string().check(z.minLength(1, 'must not be empty'));
const ip = z.string().check(z.regex(IP_NUMBER, 'must be an IP number such as 10.0.0.5'));
const port = z.int().check(z.minimum(1), z.maximum(65_535));
const ms = z.number().check(z.nonnegative());
const seconds = z.number().check(z.nonnegative());

/** Accepts a number that may be missing or null, as a settings template leaves it, and then returns the fallback. */
function withDefault(schema: z.ZodMiniType<number>, fallback: number) {
  return z.pipe(
    z.optional(z.nullable(schema)),
    z.transform((value) => value ?? fallback),
  );
}

const isEnabled = z._default(z.boolean(), false);
const loadSchema = z
  .strictObject({
    learnServerSpeeds: isEnabled,
    placeBySize: isEnabled,
    shareCapacity: isEnabled,
    spreadRetries: isEnabled,
    reserveLimitUnits: isEnabled,
    restartReserve: isEnabled,
  })
  .check(
    z.refine(({ placeBySize, learnServerSpeeds }) => !placeBySize || learnServerSpeeds, {
      path: ['placeBySize'],
      message: 'needs learnServerSpeeds: true',
    }),
  );

const tunnelSchema = z.strictObject({
  areUsed: z._default(z.boolean(), DEFAULT_TUNNEL_SETTINGS.areUsed),
  maxTunnels: z._default(z.int().check(z.nonnegative()), DEFAULT_TUNNEL_SETTINGS.maxTunnels),
});

const byteCount = z.int().check(z.positive());
const answerSchema = z.strictObject({
  maxEventBytes: z._default(byteCount, DEFAULT_ANSWER_SETTINGS.maxEventBytes),
  maxPlainBytes: z._default(byteCount, DEFAULT_ANSWER_SETTINGS.maxPlainBytes),
  maxUnreadBytes: z._default(byteCount, DEFAULT_ANSWER_SETTINGS.maxUnreadBytes),
  maxBufferedBytes: z.optional(byteCount),
});

const schema = z.strictObject({
  box: z.strictObject({
    id: name,
    ip,
    zone: name,
    processorShare: z._default(z.number().check(z.positive()), 1),
    processorSpeed: z._default(z.number().check(z.positive()), 1),
  }),
  zones: z.array(name).check(z.minLength(1, 'must name a zone')),
  listen: z.strictObject({
    callers: hostPort,
    readiness: hostPort,
    peersPort: port,
    metricsPort: z._default(port, DEFAULT_METRICS_PORT),
  }),
  seeds: z._default(z.array(hostPort), []),
  store: z.strictObject({ address: hostPort }),
  cloud: z.optional(
    z.strictObject({ address: hostPort, duties: z._default(z.array(z.string()), []) }),
  ),
  bounds: z.strictObject({
    configurationMs: ms,
    drainMs: ms,
    graceSeconds: seconds,
    retryRatio: ms,
    retrySlack: ms,
    limitWindowSeconds: withDefault(z.number().check(z.positive()), DEFAULT_LIMIT_WINDOW_SECONDS),
    limitOverShare: withDefault(z.number().check(z.nonnegative()), 0),
    limitSlackUnits: withDefault(z.number().check(z.nonnegative()), 0),
    exposeShare: withDefault(z.number().check(z.nonnegative(), z.maximum(1)), 0),
    leaseMs: z.number().check(z.positive()),
    usageWindowSeconds: z._default(seconds, 0),
    usageDueSeconds: z._default(seconds, 0),
  }),
  load: z._default(loadSchema, DEFAULT_LOAD_SETTINGS),
  tunnels: z._default(tunnelSchema, DEFAULT_TUNNEL_SETTINGS),
  answers: z._default(answerSchema, DEFAULT_ANSWER_SETTINGS),
});

/** Valid settings, or all faults of the file. */
export type GatewaySettingsResult =
  { kind: 'valid'; settings: GatewaySettings } | { kind: 'invalid'; faults: readonly string[] };

/** Parses and validates settings from YAML text. */
export function validateGatewaySettings(text: string): GatewaySettingsResult {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    return { kind: 'invalid', faults: [`not YAML: ${(error as Error).message}`] };
  }
  const result = schema.safeParse(document);
  if (result.success) return { kind: 'valid', settings: settingsOf(result.data) };
  const faults = result.error.issues.map(
    (issue) => `${issue.path.join('.') || 'settings'}: ${issue.message}`,
  );
  return { kind: 'invalid', faults };
}

function settingsOf(file: z.infer<typeof schema>): GatewaySettings {
  const { bounds, box, cloud } = file;
  const { processorShare, processorSpeed, ...names } = box;
  const { graceSeconds, usageWindowSeconds, usageDueSeconds, limitWindowSeconds, ...others } =
    bounds;
  return {
    ...file,
    box: { ...names, processorCores: processorShare * processorSpeed },
    cloud: cloud && {
      address: cloud.address,
      reportsUsage: cloud.duties.includes(Duty.usageReports),
      ordersEngines: cloud.duties.includes(Duty.engineOrders),
    },
    bounds: {
      ...others,
      graceMs: graceSeconds * MS_PER_SECOND,
      limitWindowMs: limitWindowSeconds * MS_PER_SECOND,
      usageWindowMs: usageWindowSeconds * MS_PER_SECOND,
      usageDueMs: usageDueSeconds * MS_PER_SECOND,
    },
  };
}

/** Splits `10.0.0.5:8080`. */
export function parseHostPort(text: string): HostPort {
  const [host = '', portText = '0'] = text.split(':');
  return { host, port: Number(portText) };
}
