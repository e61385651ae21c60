/**
 * Keeps units of a limit for streams that have begun: those that wait for units, and in the first second after
 * the start of a box those that are still expected to be taken up.
 */
import { reservedUnits } from '../../policy/limitShareBound.js';
import { unitsForBegun, unitsWithheldFrom, type NeededUnits } from '../../policy/unitsForBegun.js';
import type { GatewayState } from '../../state.js';
import type { WorkspaceSpec } from '../../types/configuration.js';
import type { PendingRequest, RequestRecord } from '../../types/request.js';
import { unitsForCutStreams } from './cutStreams.js';
import { awaitsFirstUnits, firstUnitsWaitMs } from './firstUnits.js';
import { borrowedUnits, limitUse, quotaOf, spareUnits } from './quotas.js';

/** Time after a stream was taken up for which further ones are expected, in ms: callers of one loss come back in a crowd. */
const EXPECTED_FOR_MS = 300;
/** Share of its wait for first units after which a new request may use those that are kept. */
const KEPT_WAIT_SHARE = 0.8;

/** Returns what a request needs of its workspace's limit. */
export function neededUnitsOf({
  workspace = '',
  units,
  beganAtVersion,
}: RequestRecord): NeededUnits {
  return { workspace, units, hasBegun: beganAtVersion !== undefined };
}

/** Whether a request waits for units to go on with a stream that has begun. */
export function isBegunStream({ awaitsUnits }: PendingRequest): boolean {
  return awaitsUnits?.hasBegun === true;
}

/** Returns whether a request may use units of this box now, or leaves them to streams that have begun. */
export function mayUseUnitsNow(
  state: GatewayState,
  record: RequestRecord,
  workspace: WorkspaceSpec,
  nowMs: number,
): boolean {
  const needed = neededUnitsOf(record);
  const quota = quotaOf(state, workspace, nowMs);
  if (needed.hasBegun) quota.begunAskedAtMs = nowMs;
  const withheld = unitsWithheldFrom(needed, {
    waiting: waitingRequests(state),
    keptUnits: Math.max(
      unitsForCutStreams(state, workspace, nowMs),
      keptUnits(state, record, workspace, nowMs),
    ),
  });
  if (withheld === 0) return true;
  const available = spareUnits(state, workspace, nowMs) + borrowedUnits(quota, nowMs);
  return available - withheld >= needed.units;
}

/** Returns the units of a workspace that begun streams wait for at this box. */
export function unitsAwaitedByBegun(state: GatewayState, { name }: WorkspaceSpec): number {
  return unitsForBegun(waitingRequests(state), name);
}

/** Returns the units that begun streams wait for, or that are kept for them, before a request. */
export function unitsAwaitedBefore(
  state: GatewayState,
  record: RequestRecord,
  workspace: WorkspaceSpec,
  nowMs: number,
): number {
  return unitsWithheldFrom(neededUnitsOf(record), {
    waiting: waitingRequests(state),
    keptUnits: unitsForCutStreams(state, workspace, nowMs),
  });
}

function waitingRequests(state: GatewayState): NeededUnits[] {
  const { pendingRequests, waitingForUnits, requests } = state;
  const held = pendingRequests.flatMap(({ awaitsUnits }) => awaitsUnits ?? []);
  // The caller of a waiting request may have left, or its deadline may have passed.
  const waiting = waitingForUnits.filter(
    ({ record }) => requests.get(record.exchangeId) === record,
  );
  return [...held, ...waiting.map(({ record }) => neededUnitsOf(record))];
}

/** Returns the units kept from a new request for streams that are expected: the reserve for restarts, while there is one. */
function keptUnits(
  state: GatewayState,
  { arrivedAtMs, route }: RequestRecord,
  workspace: WorkspaceSpec,
  nowMs: number,
): number {
  if (!awaitsFirstUnits(state, nowMs)) return 0;
  const { begunAskedAtMs } = quotaOf(state, workspace, nowMs);
  if (nowMs - begunAskedAtMs >= EXPECTED_FOR_MS) return 0;
  if (nowMs - arrivedAtMs >= firstUnitsWaitMs(route) * KEPT_WAIT_SHARE) return 0;
  const { allowed } = limitUse(state, workspace, nowMs);
  return reservedUnits(allowed, state.settings.load.restartReserve);
}
