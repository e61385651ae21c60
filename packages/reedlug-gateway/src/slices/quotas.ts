/**
 * Limits of workspaces over all boxes together, by an account of a sliding window.
 *
 * In any window a workspace may get its rate times the window and its burst, and
 * the tolerance that the users grant on top. Each box adds up what it admitted
 * and what peers, or the hub of its group, tell that others did, and holds back
 * what others may have admitted since their last news. Boxes that are cut off
 * from others keep to their share of the whole.
 */
import { LimitUnit, type WorkspaceSpec } from '../types/configuration.js';
import type { RequestFacts } from '../types/request.js';
import { spreadRetryMs } from '../policy/retrySpread.js';
import {
  addUnits,
  createUnitWindow,
  timeUntilLeft,
  unitsSince,
  unitsWithin,
  type UnitWindow,
} from '../policy/unitWindow.js';
import { NewsScope } from '../types/peer.js';
import type { GatewayState } from '../state.js';
import type { LimitInForce, PeerView, QuotaView } from '../types/views.js';
import { assumeUsed } from './assumedUnits.js';
import { countsFreshly, heardShare, usesHubs } from './fleet.js';
import {
  SURE,
  SURE_BY_HUBS,
  UNSURE,
  windowLengthMs,
  withTolerance,
  type UsedTolerance,
} from './limitTolerance.js';

/** Time for which others' admissions may be unknown, in ms: a message each 0.2 s, a tick and the way; through two hubs, three times. */
const NEWS_LAG_MS = 300;
const NEWS_LAG_BY_HUBS_MS = 700;
/** How much faster than over the window others may have admitted in that time: callers come in clumps. */
const CLUMP_FACTOR = 2;
/** Share of the fleet that is heard from which on it is taken to be whole: some boxes are always on their way in or out. */
const WHOLE_SHARE = 0.95;
/** Part of its share that a part of a fleet with hubs uses while it is cut off: until the cut is noticed, both parts take what the other may take as well. Boxes that hear each other directly notice sooner, and one box that is away is a sixth of a small fleet. */
const USED_WHILE_PARTED = 0.85;
/** Time from a hub's loss being noticed until the next one's sums tell what others admit, in ms: its own first round and one back. */
const NEXT_HUB_MS = 600;
/** Time over which the latest rate of others is taken, in ms: a workspace may have begun to send much more. */
const LATE_RATE_MS = 1500;

/** Notes since when this part of the fleet hears too few of the others. */
export function noteParting(state: GatewayState, nowMs: number): void {
  if (heardShare(state, nowMs) >= WHOLE_SHARE) state.partedAtMs = undefined;
  else state.partedAtMs ??= nowMs;
}

/** What a request counts against its workspace's limit. */
export function unitsOf(workspace: WorkspaceSpec, facts: RequestFacts): number {
  if (workspace.unit === LimitUnit.requests) return 1;
  if (facts.promptTokens === undefined) return workspace.plainTokens;
  return facts.promptTokens + (facts.maxOutputTokens ?? 0);
}

/** What a limit says of a request. */
export type Admission =
  | { kind: 'admitted' }
  /** `waitMs` until it fits; the figures that decided it are for the log. */
  | { kind: 'overLimit'; waitMs: number; used: number; allowed: number; heardShare: number };

/** Admits a request against its workspace's limit. */
export function admitUnits(
  state: GatewayState,
  params: { workspace: WorkspaceSpec; units: number; requestId: string; nowMs: number },
): Admission {
  const { workspace, units, nowMs } = params;
  const quota = quotaOf(state, workspace, nowMs);
  const account = accountOf(state, workspace, quota, nowMs);
  const lacking = units - account.room;
  if (workspace.ratePerSecond > 0 && lacking > 0) {
    const { used, allowed, share } = account;
    const roomInMs = timeToRoom(quota.own, { lacking, used, nowMs });
    const waitMs = spreadRetryMs(roomInMs, params.requestId);
    return { kind: 'overLimit', waitMs, used, allowed, heardShare: share };
  }
  addUnits(quota.own, units, nowMs);
  quota.admitted += units;
  return { kind: 'admitted' };
}

/** Units of a workspace in the window, and the most that it may hold. */
export function limitUse(
  state: GatewayState,
  workspace: WorkspaceSpec,
  nowMs: number,
): { used: number; allowed: number } {
  const { used, allowed } = accountOf(state, workspace, quotaOf(state, workspace, nowMs), nowMs);
  return { used, allowed };
}

interface Account {
  /** Units that may still be admitted now; below 0 when too many were. */
  room: number;
  /** Units of the window that are known, own and others'. */
  used: number;
  /** The most that the window may hold. */
  allowed: number;
  /** Share of the fleet that is heard. */
  share: number;
}

function accountOf(
  state: GatewayState,
  workspace: WorkspaceSpec,
  quota: QuotaView,
  nowMs: number,
): Account {
  const byHubs = usesHubs(state);
  const own = unitsWithin(quota.own, nowMs);
  const assumed = assumedUnits(quota, nowMs);
  const share = heardShare(state, nowMs);
  const { heard, heardOfPart, silent } = othersUnits(state, workspace.name, { share, nowMs });
  const tolerance = usedTolerance(assumed, byHubs);
  const allowed = withTolerance(state, limitUnits(state, quota, nowMs), tolerance);
  const lagMs = byHubs ? NEWS_LAG_BY_HUBS_MS : NEWS_LAG_MS;
  const reserve = (heardOfPart * CLUMP_FACTOR * lagMs) / windowLengthMs(state);
  const used = own + heard + silent + assumed;
  const roomOfAll = allowed - used;
  const isCautious = state.partedAtMs !== undefined && byHubs;
  const ofShare = isCautious ? share * USED_WHILE_PARTED : share;
  const roomOfShare = allowed * ofShare - own - heardOfPart;
  return { room: Math.min(roomOfAll, roomOfShare) - reserve, used, allowed, share };
}

function assumedUnits(quota: QuotaView, nowMs: number): number {
  return quota.assumed === undefined ? 0 : unitsWithin(quota.assumed, nowMs);
}

/**
 * What peers admitted in the window, as far as they told: those heard now, and
 * those that fell silent. `heardOfPart` is what counts against the share of this part
 * of the fleet. A hub's sums count for it also when the hub has gone silent: the next
 * hub's begin anew, and without them 24 boxes whose zones were cut off in turn took 3 %
 * more than a limit and its tolerance allow (simulated).
 */
function othersUnits(
  state: GatewayState,
  workspaceName: string,
  params: { share: number; nowMs: number },
): { heard: number; heardOfPart: number; silent: number } {
  const { share, nowMs } = params;
  let heard = 0;
  let heardOfPart = 0;
  let silent = 0;
  for (const peer of state.peers.values()) {
    const window = peer.units.get(workspaceName);
    if (window === undefined) continue;
    const units = unitsWithin(window, nowMs);
    const isHeard = countsFreshly(peer, nowMs);
    if (isHeard) heard += units;
    else silent += units;
    if (peer.message?.scope === NewsScope.others) heardOfPart += unitsOfPart(state, window, share);
    else if (isHeard) heardOfPart += units;
  }
  return { heard, heardOfPart, silent };
}

/**
 * What a hub's sum holds of this part of the fleet: of what was summed up before the
 * part was cut off its share, since the other part counts the rest. Taken whole, it
 * left a zone of 39 boxes no room for the length of the window.
 */
function unitsOfPart({ partedAtMs }: GatewayState, window: UnitWindow, share: number): number {
  if (partedAtMs === undefined) return window.total;
  const since = unitsSince(window, partedAtMs);
  return since + (window.total - since) * share;
}

/** The limit's units of the window: limits that changed within it count for their parts of it. */
function limitUnits(state: GatewayState, quota: QuotaView, nowMs: number): number {
  const { limitWindowMs } = state.settings.bounds;
  const { limits } = quota;
  const windowStartMs = nowMs - limitWindowMs;
  while (limits.length > 1 && (limits[1] as LimitInForce).fromMs <= windowStartMs) limits.shift();
  let units = 0;
  let burst = 0;
  limits.forEach((limit, index) => {
    const fromMs = Math.max(windowStartMs, index === 0 ? windowStartMs : limit.fromMs);
    const untilMs = limits[index + 1]?.fromMs ?? nowMs;
    units += (limit.ratePerSecond * Math.max(0, untilMs - fromMs)) / 1000;
    burst = Math.max(burst, limit.burst);
  });
  return units + burst;
}

function usedTolerance(assumedUnits: number, byHubs: boolean): UsedTolerance {
  if (assumedUnits > 0) return UNSURE;
  return byHubs ? SURE_BY_HUBS : SURE;
}

/** When so much more room is expected: own units leave the window at known times, others' about evenly. */
function timeToRoom(
  own: UnitWindow,
  params: { lacking: number; used: number; nowMs: number },
): number {
  const { lacking, used, nowMs } = params;
  const ownShare = used <= 0 ? 1 : own.total / used;
  const evenlyMs = (lacking / Math.max(1, used)) * own.lengthMs;
  const ownMs = timeUntilLeft(own, lacking * ownShare, nowMs);
  return Math.min(own.lengthMs, Math.max(evenlyMs, ownMs));
}

/**
 * Supposes what others admitted while nobody told this box: from its hub's last word
 * until the next one has begun, and its first sum has nothing to compare with. The
 * units go to the lost hub's, at their highest rate of late. Without it 36 boxes that
 * lost a third of them took up to 30 % more than a limit allows (simulated).
 */
export function supposeUntold(state: GatewayState, lost: PeerView, nowMs: number): void {
  const untoldMs = nowMs - lost.heardAtMs + NEXT_HUB_MS;
  for (const [name, window] of lost.units) {
    const meanPerMs = unitsWithin(window, nowMs) / window.lengthMs;
    const latePerMs = unitsSince(window, lost.heardAtMs - LATE_RATE_MS) / LATE_RATE_MS;
    const units = Math.max(meanPerMs, latePerMs) * untoldMs;
    if (units > 0) takePeerUnits(state, lost, { workspace: name, units, nowMs });
  }
}

/** A workspace of the configuration in force. */
export function findWorkspace(state: GatewayState, name: string): WorkspaceSpec | undefined {
  return state.active?.configuration.workspaces.find((workspace) => workspace.name === name);
}

/** Takes what a peer has admitted since its last message. */
export function takePeerUnits(
  state: GatewayState,
  peer: PeerView,
  news: { workspace: string; units: number; nowMs: number },
): void {
  addUnits(windowOf(state, peer, news.workspace), news.units, news.nowMs);
}

/** A peer's window of one workspace. */
export function windowOf(state: GatewayState, peer: PeerView, workspace: string): UnitWindow {
  const known = peer.units.get(workspace);
  if (known !== undefined) return known;
  const window = createUnitWindow(windowLengthMs(state));
  peer.units.set(workspace, window);
  return window;
}

/** A box's account of a workspace's limit. */
export function quotaOf(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): QuotaView {
  const known = state.quotas.get(workspace.name) ?? freshQuota(state, workspace, nowMs);
  const inForce = known.limits.at(-1);
  const { ratePerSecond, burst } = workspace;
  if (inForce?.ratePerSecond !== ratePerSecond || inForce.burst !== burst) {
    known.limits.push({ fromMs: nowMs, ratePerSecond, burst });
  }
  return known;
}

function freshQuota(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): QuotaView {
  const { ratePerSecond, burst } = workspace;
  const quota: QuotaView = {
    own: createUnitWindow(windowLengthMs(state)),
    assumed: undefined,
    earlierLifeTold: false,
    limits: [{ fromMs: nowMs, ratePerSecond, burst }],
    admitted: 0,
  };
  state.quotas.set(workspace.name, quota);
  assumeUsed(state, quota, workspace, nowMs);
  return quota;
}
