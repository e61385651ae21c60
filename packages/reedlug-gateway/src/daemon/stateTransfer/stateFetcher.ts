/**
 * Gets newer states from other boxes: the configuration, at most one transfer at a time, and the
 * registry of servers.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { Client } from 'undici';
import type { Logger } from '../../observe/logger.js';
import type { SharedState } from '../../slices/peers/sharedState.js';
import type { Configuration } from '../../types/configuration.js';
import type { HostPort } from '../../types/server.js';
import { PEER_IDLE_TIMEOUT_MS } from '../daemonTimes.js';
import type { ReceivedBody } from './encodedConfigurations.js';
import { getState, type GetOutcome, type PartialBody } from './resumableGet.js';
import type { TransferMetrics } from '../../observe/transferMetrics.js';
import {
  CONFIGURATION_PATH,
  decodeConfiguration,
  decodeSharedState,
  decompress,
  SHARED_STATE_PATH,
} from './transferWire.js';

/** Number of failed attempts after which a transfer is given up; busy responses do not count. */
const MAX_FAILURES = 3;
/**
 * Time for which requests to a busy box are repeated, in ms. The store is read before it has
 * passed, see `isConfigurationOverdue`.
 */
const MAX_BUSY_MS = 2000;
/**
 * Random delay before a retry, in ms: short enough that a free place at the answering box is soon
 * used, long enough that the waiting boxes of a group do not load it with their requests.
 */
const RETRY_DELAY_MS = [100, 300] as const;
/**
 * Random delay before a request to a box named by a busy one, in ms: the same box may be named to
 * several.
 */
const REFERRAL_DELAY_MS = [0, 50] as const;

/** What the fetcher reads and reports to. */
export interface StateFetcherParams {
  /** Returns the configuration in force at this box. */
  configuration: () => Configuration | undefined;
  /** Returns whether an address is that of a box; this box sends requests to no other address. */
  isKnownBox: (address: HostPort) => boolean;
  onConfiguration: (configuration: Configuration, received: ReceivedBody) => void;
  /** Called when a box did not send the version that it announced. */
  onFailed: (failure: TransferFailure) => void;
  logger: Logger;
  metrics: TransferMetrics;
  idleTimeoutMs?: number;
}

/** A transfer that was given up. */
export interface TransferFailure {
  peer: HostPort;
  /** Version that the transfer was for. */
  version: number;
  reason: string;
}

/** Gets states from other boxes. */
export interface StateFetcher {
  /** Requests a version that a box has announced, unless a transfer is in progress. */
  requestConfiguration: (peer: HostPort, version: number) => void;
  /**
   * Requests a box's registry; undefined if it did not answer, or if a request to it is in
   * progress.
   */
  requestRegistry: (peer: HostPort) => Promise<SharedState | undefined>;
}

/** Creates a fetcher without transfers. */
export function createStateFetcher(params: StateFetcherParams): StateFetcher {
  const { configuration, isKnownBox, onConfiguration, onFailed, logger, metrics } = params;
  const { idleTimeoutMs = PEER_IDLE_TIMEOUT_MS } = params;
  const registriesInProgress = new Set<string>();
  let isInProgress = false;
  /** Start of a body that broke off; any box that has the same bytes can send the rest. */
  let partial: PartialBody | undefined;

  const ownVersion = (): number => configuration()?.version ?? 0;

  const report = (transfer: Transfer, result: ReceivedConfiguration): void => {
    const { form, bytes, resumedFrom } = result;
    const tookMs = performance.now() - transfer.startedAtMs;
    metrics.bytes.inc({ direction: 'received', form }, bytes.length);
    metrics.durationMs.observe(tookMs);
    logger('configurationReceived', {
      peer: transfer.source.host,
      version: result.configuration.version,
      before: ownVersion(),
      form,
      bytes: bytes.length,
      resumedFrom,
      tries: transfer.tries,
      tookMs: Math.round(tookMs),
    });
  };

  /** Makes one attempt; returns whether the transfer continues, or why it is given up. */
  const attempt = async (transfer: Transfer): Promise<'done' | 'retry' | { reason: string }> => {
    const { announcer, source } = transfer;
    const base = configuration();
    if ((base?.version ?? 0) >= transfer.version) return 'done';
    transfer.tries += 1;
    const outcome = await getState({
      client: clientOf(transfer, source),
      path: CONFIGURATION_PATH,
      afterVersion: transfer.acceptsDelta ? (base?.version ?? 0) : 0,
      idleTimeoutMs,
      partial,
    });
    if ('partial' in outcome) partial = outcome.partial;
    else if (outcome.kind !== 'busy') partial = undefined;
    const result = await resultOf(outcome, base);
    metrics.attempts.inc({ state: 'configuration', outcome: result.kind });
    transfer.source = announcer;
    switch (result.kind) {
      case 'received':
        report({ ...transfer, source }, result);
        onConfiguration(result.configuration, receivedBodyOf(result));
        return 'done';
      case 'busy': {
        if (performance.now() - transfer.startedAtMs > MAX_BUSY_MS) return { reason: 'busy' };
        const { holder } = result;
        if (holder !== undefined && isKnownBox(holder)) transfer.source = holder;
        return 'retry';
      }
      case 'otherBase':
        logger('configurationDeltaDropped', { peer: source.host, base: base?.version ?? 0 });
        if (!transfer.acceptsDelta) return { reason: 'a delta was not requested' };
        transfer.acceptsDelta = false;
        return 'retry';
      case 'malformed':
        logger('peerAnswerMalformed', { peer: source.host, reason: result.reason });
        break;
      case 'notNewer':
      case 'stalled':
      case 'broken':
        break;
    }
    const reason = result.kind === 'notNewer' ? 'no newer version' : result.reason;
    transfer.failures += 1;
    // The box named by a busy announcer may have left or restarted; the announcer is tried again.
    const isReferred = source !== announcer;
    const mayRetry = isReferred || result.kind === 'broken' || result.kind === 'malformed';
    return mayRetry && transfer.failures < MAX_FAILURES ? 'retry' : { reason };
  };

  /** Gets a version; returns the reason if it was not received. */
  const run = async (transfer: Transfer): Promise<string | undefined> => {
    for (;;) {
      const next = await attempt(transfer);
      if (next === 'done') return undefined;
      if (next !== 'retry') return next.reason;
      const isReferred = transfer.source !== transfer.announcer;
      const [leastMs, mostMs] = isReferred ? REFERRAL_DELAY_MS : RETRY_DELAY_MS;
      await delay(leastMs + Math.random() * (mostMs - leastMs));
    }
  };

  /** Reads a box's registry; undefined if it did not send one. */
  const readRegistry = async (peer: HostPort): Promise<SharedState | undefined> => {
    const client = openClient(peer);
    const outcome = await getState({
      client,
      path: SHARED_STATE_PATH,
      afterVersion: ownVersion(),
      idleTimeoutMs,
    });
    closeClient(client);
    const state = await registryOf(outcome);
    const isReceived = typeof state !== 'string';
    const kind = isReceived ? 'received' : outcome.kind === 'complete' ? 'malformed' : outcome.kind;
    metrics.attempts.inc({ state: 'registry', outcome: kind });
    if (isReceived) {
      const bytes = outcome.kind === 'complete' ? outcome.bytes.length : 0;
      metrics.bytes.inc({ direction: 'received', form: 'registry' }, bytes);
      return state;
    }
    // The next gossip message of the box repeats the request. That a box is busy is no fault.
    if (kind !== 'busy') logger('registryTransferFailed', { peer: peer.host, reason: state });
    return undefined;
  };

  return {
    requestConfiguration(peer, version) {
      if (isInProgress || ownVersion() >= version) return;
      isInProgress = true;
      const transfer: Transfer = {
        announcer: peer,
        version,
        startedAtMs: performance.now(),
        source: peer,
        clients: new Map(),
        tries: 0,
        failures: 0,
        acceptsDelta: true,
      };
      // An address or a body that no check foresees must not end the process.
      const finished = run(transfer).catch((error: unknown) => (error as Error).message);
      void finished.then((reason) => {
        isInProgress = false;
        for (const client of transfer.clients.values()) closeClient(client);
        if (reason !== undefined) onFailed({ peer, version, reason });
      });
    },
    async requestRegistry(peer) {
      const key = keyOf(peer);
      if (registriesInProgress.has(key)) return undefined;
      registriesInProgress.add(key);
      try {
        return await readRegistry(peer);
      } catch (error) {
        const reason = (error as Error).message;
        logger('registryTransferFailed', { peer: peer.host, reason });
        return undefined;
      } finally {
        registriesInProgress.delete(key);
      }
    },
  };
}

/** A transfer of the configuration in progress. */
interface Transfer {
  /** Box that announced the version. */
  announcer: HostPort;
  version: number;
  startedAtMs: number;
  /** Box that the next attempt asks: the announcing one, or one to which that one has referred. */
  source: HostPort;
  clients: Map<string, Client>;
  tries: number;
  failures: number;
  acceptsDelta: boolean;
}

function clientOf({ clients }: Transfer, peer: HostPort): Client {
  const known = clients.get(keyOf(peer));
  if (known !== undefined) return known;
  const client = openClient(peer);
  clients.set(keyOf(peer), client);
  return client;
}

function keyOf({ host, port }: HostPort): string {
  return `${host}:${port}`;
}

interface ReceivedConfiguration {
  kind: 'received';
  configuration: Configuration;
  /** Version that the request named. */
  baseVersion: number;
  form: 'whole' | 'delta';
  bytes: Buffer;
  tag: string;
  contentEncoding: string;
  resumedFrom: number;
}

/** Result of an attempt to get the configuration. */
type TransferResult =
  ReceivedConfiguration | { kind: 'otherBase' } | Exclude<GetOutcome, { kind: 'complete' }>;

async function resultOf(
  outcome: GetOutcome,
  base: Configuration | undefined,
): Promise<TransferResult> {
  if (outcome.kind !== 'complete') return outcome;
  let content: Buffer;
  try {
    content = await decompress(outcome.bytes, outcome.contentEncoding);
  } catch (error) {
    return { kind: 'malformed', reason: (error as Error).message };
  }
  const decoded = await decodeConfiguration(content, base);
  if (decoded.kind !== 'configuration') return decoded;
  const { configuration, form } = decoded;
  const baseVersion = base?.version ?? 0;
  if (configuration.version <= baseVersion) return { kind: 'notNewer' };
  return { ...outcome, kind: 'received', configuration, form, baseVersion };
}

function receivedBodyOf(result: ReceivedConfiguration): ReceivedBody {
  const { configuration, baseVersion, bytes, tag, form } = result;
  const contentEncoding = result.contentEncoding === 'gzip' ? 'gzip' : 'identity';
  return {
    version: configuration.version,
    baseVersion,
    body: { bytes, tag, contentEncoding, form },
  };
}

/** Returns the registry, or the reason why there is none. */
async function registryOf(outcome: GetOutcome): Promise<SharedState | string> {
  if (outcome.kind !== 'complete') return 'reason' in outcome ? outcome.reason : outcome.kind;
  try {
    return decodeSharedState(await decompress(outcome.bytes, outcome.contentEncoding));
  } catch (error) {
    return (error as Error).message;
  }
}

function openClient({ host, port }: HostPort): Client {
  return new Client(`http://${host}:${port}`);
}

function closeClient(client: Client): void {
  // The request has been answered or has failed by now, so errors of closing the client are
  // ignored.
  client.destroy().catch(() => undefined);
}
