/**
 * Validation of states that other boxes send; fields of newer boxes are kept.
 *
 * It uses tables of checks instead of the schema library of the settings: the check blocks the
 * event loop, and the library takes several times as long for a configuration with thousands of
 * routes.
 */
import { faultOfAddress } from '../../policy/serverAddress.js';
import type { HostPort } from '../../types/server.js';
import { LimitUnit, RouteKind } from '../../types/configuration.js';

/** Returns where and how a value is invalid; undefined if it is valid. */
type Check = (value: unknown) => string | undefined;

/** Result of a check of a valid value. */
const VALID: undefined = undefined;

const text: Check = (value) => (typeof value === 'string' ? VALID : 'not a text');
const flag: Check = (value) => (typeof value === 'boolean' ? VALID : 'not a flag');
const number: Check = (value) => (Number.isFinite(value) ? VALID : 'not a number');
/** A bound that may be left out, which is infinite then. */
const bound: Check = (value) => (value === Number.POSITIVE_INFINITY ? VALID : number(value));
const count: Check = (value) =>
  Number.isSafeInteger(value) && Number(value) >= 0 ? VALID : 'not a count';

function oneOf(values: readonly string[]): Check {
  return (value) => (values.includes(value as string) ? VALID : 'unknown value');
}

function optional(check: Check): Check {
  return (value) => (value === undefined ? VALID : check(value));
}

function record(fields: Readonly<Record<string, Check>>): Check {
  const checks = Object.entries(fields);
  return (value) => {
    if (typeof value !== 'object' || value === null) return 'not an object';
    for (const [name, check] of checks) {
      const fault = check((value as Record<string, unknown>)[name]);
      if (fault !== undefined) return `${name}: ${fault}`;
    }
    return VALID;
  };
}

function list(check: Check): Check {
  return (value) => {
    if (!Array.isArray(value)) return 'not a list';
    for (let index = 0; index < value.length; index += 1) {
      const fault = check(value[index]);
      if (fault !== undefined) return `${index}: ${fault}`;
    }
    return VALID;
  };
}

function pair(first: Check, second: Check): Check {
  return (value) => {
    if (!Array.isArray(value) || value.length !== 2) return 'not a pair';
    return first(value[0]) ?? second(value[1]);
  };
}

const route = record({
  name: text,
  host: text,
  pathPrefix: text,
  kind: oneOf(Object.values(RouteKind)),
  timeoutMs: number,
  targetMs: number,
  gapTargetMs: optional(number),
  priority: number,
  targets: list(record({ service: text, weight: number })),
  maxAttempts: number,
  isPublic: flag,
  resumable: flag,
});
const service = record({
  name: text,
  maxConnections: bound,
  engine: optional(record({ slots: number, kvCapacityTokens: number })),
  scaling: optional(
    record({
      minPerZone: number,
      maxPerZone: number,
      bootMs: number,
      reclaimablePriceShare: optional(number),
      zonePrices: list(record({ zone: text, price: number })),
    }),
  ),
});
const workspace = record({
  name: text,
  keys: list(text),
  priority: optional(number),
  unit: oneOf(Object.values(LimitUnit)),
  plainTokens: number,
  ratePerSecond: number,
  burst: number,
});
const limits = record({
  maxHeaderBytes: number,
  maxBodyBytes: number,
  headerTimeoutMs: number,
  idleTimeoutMs: number,
});
const configuration = record({
  version: count,
  routes: list(route),
  services: list(service),
  workspaces: list(workspace),
  limits,
});

function listDelta(item: Check): Check {
  return record({ placed: list(pair(count, item)), removed: list(text) });
}

/** Checks a body with the whole configuration. */
export const faultOfWhole: Check = record({ configuration });

/** Checks a body with a delta. */
export const faultOfDelta: Check = record({
  digest: text,
  delta: record({
    baseVersion: count,
    version: count,
    routes: listDelta(route),
    services: listDelta(service),
    workspaces: listDelta(workspace),
    limits,
  }),
});

const hostAndPort = record({ host: text, port: number });
const serverAddress: Check = (value) => hostAndPort(value) ?? faultOfAddress(value as HostPort);

/** Checks a registry, with which older boxes send their configuration. */
export const faultOfSharedState: Check = record({
  configuration: optional(configuration),
  servers: optional(
    list(
      record({
        id: text,
        entry: optional(
          record({
            id: text,
            service: text,
            address: serverAddress,
            zone: text,
            slots: number,
            state: text,
          }),
        ),
      }),
    ),
  ),
  serversRevision: number,
  serversReadTo: optional(number),
  boxId: text,
  registryNumber: number,
});
