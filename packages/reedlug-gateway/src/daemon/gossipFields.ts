/** Fields of gossip that are malformed, as another version of the gateway or a spoiled datagram has them. */
import { MAX_STORE_ERA } from 'reedlug-coordination';
import type { SendSums } from '../policy/engineModel.js';
import { faultOfAddress } from '../policy/serverAddress.js';
import { isArrayOf, isFiniteNumber, isRecordOf, isText } from '../slices/store/rowValues.js';
import type { BrittleServiceGossip } from '../types/brittleService.js';
import type { LimitShareGossip } from '../types/limitShare.js';
import type { PeerMessage, RegistryGossip, UsageDecisionGossip } from '../types/peer.js';
import { RolloutPhase, type RolloutGossip, type RolloutOrder } from '../types/rollout.js';
import type { HostPort } from '../types/server.js';
import type { UsageCounts } from '../types/views.js';

/** Sums that boxes of all versions send. */
const SEND_SUMS: readonly (keyof SendSums)[] = [
  'sends',
  'tokens',
  'running',
  'waitMs',
  'tokensSquared',
  'tokensRunning',
  'runningSquared',
  'tokensWait',
  'runningWait',
];

const ROLLOUT_PHASES: ReadonlySet<RolloutPhase> = new Set(Object.values(RolloutPhase));

/** Whether a value may stand in a field, or in a list or map of one. */
type Check = (value: unknown) => boolean;

/** Fields that are dropped if they are malformed. */
const OPTIONAL_FIELDS: readonly (readonly [keyof PeerMessage, Check])[] = [
  ['serversRevisionMax', isFiniteNumber],
  ['storeContactAgeMs', isFiniteNumber],
  ['feedAgeMs', isFiniteNumber],
  ['knownAgeMs', isFiniteNumber],
  ['clockOffsetMs', isFiniteNumber],
  ['sameLivesForMs', isFiniteNumber],
  ['isStoreLost', (value) => typeof value === 'boolean'],
  ['storeEra', isEra],
  ['leaseHolder', isAddress],
  ['registry', isRegistry],
  ['silentZones', (value) => isArrayOf(value, isText)],
  ['room', isCounts],
  ['part', isPart],
];

/** Fields that hold a list, whose malformed items are dropped. */
const LISTS: readonly (readonly [keyof PeerMessage, Check])[] = [
  ['decisions', isDecision],
  ['brittle', isBrittleService],
  ['rollouts', isRollout],
  ['cutOffBoxes', Number.isInteger],
];

/** Fields that hold a map, whose malformed entries are dropped. */
const MAPS: readonly (readonly [keyof PeerMessage, Check])[] = [
  ['sendSums', isSendSums],
  ['admitted', isFiniteNumber],
  ['usage', isCounts],
];

/** Drops malformed fields of a message that was just decoded, as if an older box had sent it without them. */
export function dropMalformedFields(message: PeerMessage): void {
  const fields = message as unknown as Record<string, unknown>;
  for (const [name, isValid] of OPTIONAL_FIELDS) {
    if (fields[name] !== undefined && !isValid(fields[name])) Reflect.deleteProperty(fields, name);
  }
  for (const [name, isValid] of LISTS) {
    const list = fields[name];
    if (list === undefined) continue;
    if (!Array.isArray(list)) Reflect.deleteProperty(fields, name);
    else if (!list.every(isValid)) fields[name] = list.filter(isValid);
  }
  for (const [name, isValid] of MAPS) {
    const entries = Object.entries(fields[name] as object);
    const valid = entries.filter(([, value]) => isValid(value));
    if (valid.length < entries.length) fields[name] = Object.fromEntries(valid);
  }
}

/** Returns whether a value has a host and a port that datagrams can be sent to. */
export function isAddress(value: unknown): value is HostPort {
  if (typeof value !== 'object' || value === null) return false;
  const { host, port } = value as Partial<Record<string, unknown>>;
  return faultOfAddress({ host: String(host), port: Number(port) }) === undefined;
}

function isCounts(value: unknown): value is UsageCounts {
  return isRecordOf(value, isFiniteNumber);
}

function isSendSums(value: unknown): value is SendSums {
  return isRecordOf(value, isFiniteNumber) && SEND_SUMS.every((name) => name in value);
}

function isRegistry(value: unknown): value is RegistryGossip {
  if (typeof value !== 'object' || value === null) return false;
  return isFiniteNumber((value as Partial<RegistryGossip>).lastNumber);
}

function isPart(value: unknown): value is LimitShareGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { boxes, listRevision, dividedForMs } = value as Partial<LimitShareGossip>;
  const isDivided = dividedForMs === undefined || isFiniteNumber(dividedForMs);
  return isFiniteNumber(boxes) && isFiniteNumber(listRevision) && isDivided;
}

function isRollout(value: unknown): value is RolloutGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { order, ageMs, phase, barred, evidence } = value as Partial<RolloutGossip>;
  if (!isOrder(order) || !isFiniteNumber(ageMs) || !isArrayOf(barred, isText)) return false;
  const { trial, usual } = evidence ?? {};
  if (!isArrayOf(trial, isTally) || !isArrayOf(usual, isTally)) return false;
  return phase !== undefined && ROLLOUT_PHASES.has(phase);
}

function isOrder(value: unknown): value is RolloutOrder {
  if (typeof value !== 'object' || value === null) return false;
  const { service, targetVersion, durationMs, revision } = value as Partial<RolloutOrder>;
  // The duration may be any number that the operators wrote.
  const isDuration = typeof durationMs === 'number';
  return isText(service) && isText(targetVersion) && isDuration && isFiniteNumber(revision);
}

function isTally(value: unknown): value is object {
  if (typeof value !== 'object' || value === null) return false;
  const { route, answers, failed, slow } = value as Partial<Record<string, unknown>>;
  return isText(route) && [answers, failed, slow].every(isFiniteNumber);
}

function isEra(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_STORE_ERA;
}

function isDecision(value: unknown): value is UsageDecisionGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { window, counts, isReported } = value as Partial<Record<string, unknown>>;
  if (!Number.isInteger(window) || typeof isReported !== 'boolean') return false;
  if (typeof counts !== 'object' || counts === null) return false;
  return Object.values(counts).every(Number.isFinite);
}

function isBrittleService(value: unknown): value is BrittleServiceGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { service, rejectionsPerSecond, sentAgeMs, receivedAgeMs } = value as Partial<
    Record<string, unknown>
  >;
  if (typeof service !== 'string') return false;
  if (rejectionsPerSecond !== undefined && !isNonNegative(rejectionsPerSecond)) return false;
  return Number.isFinite(sentAgeMs) && Number.isFinite(receivedAgeMs);
}

function isNonNegative(value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0;
}
