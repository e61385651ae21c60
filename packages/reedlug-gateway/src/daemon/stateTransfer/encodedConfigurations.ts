/**
 * The configuration in force as bytes for other boxes, whole and as deltas from earlier versions.
 *
 * A hub sends the same version to all its members at about the same time, so each form is encoded
 * and compressed once, when it is first requested. A box that receives no request encodes nothing.
 * A box that received the version from another box passes on the received bytes.
 */
import { performance } from 'node:perf_hooks';
import { promisify } from 'node:util';
import { gzip } from 'node:zlib';
import type { Logger } from '../../observe/logger.js';
import type { Configuration } from '../../types/configuration.js';
import { configurationDelta } from './configurationDelta.js';
import { encodeWhole } from './encodeWhole.js';
import { digestOf, encodeDelta } from './transferWire.js';

/**
 * Number of earlier versions from which deltas are sent: members are behind by one version, or by a
 * few when changes follow each other quickly.
 */
const EARLIER_VERSIONS = 3;

/** A body for other boxes. */
export interface EncodedBody {
  bytes: Buffer;
  /** Entity tag; equal at all boxes that send the same bytes. */
  tag: string;
  contentEncoding: 'gzip' | 'identity';
  form: 'whole' | 'delta';
}

/** Bodies of the version in force. */
export interface EncodedConfigurations {
  /** Records the version in force. */
  record: (configuration: Configuration | undefined) => void;
  /** Keeps a body that was received, if its version is in force. */
  adopt: (received: ReceivedBody) => void;
  /** Returns the body for a box with a version; undefined if there is no newer one. */
  bodyFor: (request: BodyRequest) => Promise<EncodedBody> | undefined;
}

/** A body that another box sent. */
export interface ReceivedBody {
  version: number;
  /** Version that the request named. */
  baseVersion: number;
  body: EncodedBody;
}

/** What a box requests. */
export interface BodyRequest {
  /** Version that the requesting box has; 0 for none. */
  afterVersion: number;
  acceptsGzip: boolean;
}

const gzipAsync = promisify(gzip);

/** Creates bodies without a version. */
export function createEncodedConfigurations(logger: Logger): EncodedConfigurations {
  let current: Configuration | undefined;
  let earlier: Configuration[] = [];
  let whole: Promise<Buffer> | undefined;
  const bodies = new Map<string, Promise<EncodedBody>>();

  const encode = async (
    latest: Configuration,
    base: Configuration | undefined,
    acceptsGzip: boolean,
  ): Promise<EncodedBody> => {
    const startedAtMs = performance.now();
    const encoding = (whole ??= encodeWhole(latest));
    encoding.catch(() => {
      if (whole === encoding) whole = undefined;
    });
    const wholeBytes = await encoding;
    const delta = base === undefined ? undefined : deltaOf(base, latest, wholeBytes);
    const content = delta ?? wholeBytes;
    const encodedAtMs = performance.now();
    const bytes = acceptsGzip ? await gzipAsync(content) : content;
    const form = delta === undefined ? 'whole' : 'delta';
    logger('configurationEncoded', {
      version: latest.version,
      base: delta === undefined ? 0 : (base?.version ?? 0),
      form,
      rawBytes: content.length,
      bytes: bytes.length,
      encodeMs: Math.round(encodedAtMs - startedAtMs),
      compressMs: Math.round(performance.now() - encodedAtMs),
    });
    const contentEncoding = acceptsGzip ? 'gzip' : 'identity';
    return { bytes, tag: `"${digestOf(bytes)}"`, contentEncoding, form };
  };

  return {
    record(configuration) {
      if (configuration === undefined || configuration === current) return;
      if (current !== undefined) earlier = [current, ...earlier].slice(0, EARLIER_VERSIONS);
      current = configuration;
      whole = undefined;
      bodies.clear();
    },
    adopt({ version, baseVersion, body }) {
      const { form, contentEncoding, tag } = body;
      // Older boxes send no tag, and fields that do not belong to the configuration.
      if (current?.version !== version || tag === '') return;
      const isGzip = contentEncoding === 'gzip';
      bodies.set(keyOf(baseVersion, isGzip), Promise.resolve(body));
      if (form === 'whole') bodies.set(keyOf(undefined, isGzip), Promise.resolve(body));
    },
    bodyFor({ afterVersion, acceptsGzip }) {
      const latest = current;
      if (latest === undefined || latest.version <= afterVersion) return undefined;
      const base = earlier.find(({ version }) => version === afterVersion);
      const key = keyOf(base?.version, acceptsGzip);
      const known = bodies.get(key);
      if (known !== undefined) return known;
      const body = encode(latest, base, acceptsGzip);
      bodies.set(key, body);
      // The requests that wait for this body fail; the next one encodes it again.
      body.catch(() => bodies.delete(key));
      return body;
    },
  };
}

function keyOf(baseVersion: number | undefined, acceptsGzip: boolean): string {
  return `${baseVersion ?? 'whole'} ${acceptsGzip ? 'gzip' : 'identity'}`;
}

/** Encodes the delta between two versions; undefined if it would save nothing. */
function deltaOf(base: Configuration, latest: Configuration, whole: Buffer): Buffer | undefined {
  const delta = configurationDelta(base, latest);
  if (delta === undefined) return undefined;
  const bytes = encodeDelta(delta, whole);
  return bytes.length < whole.length ? bytes : undefined;
}
