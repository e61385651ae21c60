/**
 * Encoding of the states that boxes transfer to each other: headers, bodies and their validation.
 */
import { createHash } from 'node:crypto';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { SharedState } from '../../slices/peers/sharedState.js';
import type { Configuration } from '../../types/configuration.js';
import { decoder, encoder } from '../peerWire.js';
import { applyConfigurationDelta, type ConfigurationDelta } from './configurationDelta.js';
import { encodeWhole } from './encodeWhole.js';
import { faultOfDelta, faultOfSharedState, faultOfWhole } from './stateValidation.js';

/** Paths of the states; the oldest boxes know only the first and return it for both paths. */
export const SHARED_STATE_PATH = '/state';
export const CONFIGURATION_PATH = '/configuration';

/**
 * Header with the version that the requesting box has; 0 for none. Older boxes do not send it. It
 * is a header rather than a query, because an older box answers any other path with its whole
 * registry.
 */
export const AFTER_HEADER = 'configuration-after';

/** Header of a response with 503: address of another box that has the configuration. */
export const HOLDER_HEADER = 'configuration-holder';

/** Maximum size of a state, compressed or not, in bytes: far above that of thousands of routes. */
export const MAX_STATE_BYTES = 32 * 1024 * 1024;

/** Body of a response with the whole configuration. */
interface WholeBody {
  configuration: Configuration;
}

/** Body of a response with a delta. */
interface DeltaBody {
  delta: ConfigurationDelta;
  /** Digest of the whole body of the newer version. */
  digest: string;
}

/** Encodes a delta, with the digest of the whole body that its application must lead to. */
export function encodeDelta(delta: ConfigurationDelta, whole: Buffer): Buffer {
  return encoder.encode({ delta, digest: digestOf(whole) } satisfies DeltaBody);
}

/** Returns the digest by which a body is recognized. */
export function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 32);
}

/** A configuration decoded from a response. */
export type DecodedConfiguration =
  | { kind: 'configuration'; form: 'whole' | 'delta'; configuration: Configuration }
  /**
   * The delta does not lead to the announced version from this box's own, so the whole is needed.
   */
  | { kind: 'otherBase' }
  | { kind: 'malformed'; reason: string };

/** Decodes the response to a request of the configuration; `base` is the version that it named. */
export async function decodeConfiguration(
  bytes: Buffer,
  base: Configuration | undefined,
): Promise<DecodedConfiguration> {
  let value: unknown;
  try {
    value = decoder.decode(bytes);
  } catch (error) {
    return { kind: 'malformed', reason: (error as Error).message };
  }
  if (isObject(value) && 'delta' in value) return decodeDelta(value, base);
  // Older boxes send further fields of their state, which are not needed.
  const fault = faultOfWhole(value);
  if (fault !== undefined) return { kind: 'malformed', reason: fault };
  return {
    kind: 'configuration',
    form: 'whole',
    configuration: (value as WholeBody).configuration,
  };
}

async function decodeDelta(
  value: object,
  base: Configuration | undefined,
): Promise<DecodedConfiguration> {
  const fault = faultOfDelta(value);
  if (fault !== undefined) return { kind: 'malformed', reason: fault };
  const { delta, digest } = value as DeltaBody;
  const applied = base === undefined ? undefined : applyConfigurationDelta(base, delta);
  if (applied === undefined || digestOf(await encodeWhole(applied)) !== digest)
    return { kind: 'otherBase' };
  return { kind: 'configuration', form: 'delta', configuration: applied };
}

/** Decodes the response to a request of the registry; returns the reason if it is malformed. */
export function decodeSharedState(bytes: Buffer): SharedState | string {
  let value: unknown;
  try {
    value = decoder.decode(bytes);
  } catch (error) {
    return (error as Error).message;
  }
  return faultOfSharedState(value) ?? (value as SharedState);
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

const gunzipAsync = promisify(gunzip);

/** Returns the content of a body as received. Rejects if it is malformed or too large. */
export async function decompress(bytes: Buffer, encoding: string): Promise<Buffer> {
  if (encoding !== 'gzip') return bytes;
  return gunzipAsync(bytes, { maxOutputLength: MAX_STATE_BYTES });
}
