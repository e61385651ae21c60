/**
 * How many requests may be in progress at an engine.
 *
 * `fixed`: the engine's slots plus an allowance, less what other boxes have
 * there by the engine's last report; an even share where no fresh report is
 * known. `cacheAware`: additive increase and multiplicative decrease on cache
 * use and hit share, after CONCUR (see docs/design/windows.md).
 */
import { hashString, liveInZone, rendezvousWeight } from 'reedlug-coordination';
import type { EngineReport } from '../types/order.js';
import { RequestClass, ServerKind, WindowPolicy } from '../types/settings.js';
import type { BoxState, ServerView, SharingBoxes } from '../state.js';
import { siteOfZone } from '../state.js';

/** How long a report says something about the other boxes' load. */
const REPORT_MAX_AGE_MS = 2500;

/** Part of a window that a box may use at a server that is not hot and of which it has no report. */
const NO_REPORT_SHARE = 0.5;

/** CONCUR's constants: thresholds of cache use and hit share, step and cut. */
const CACHE_USE_LOW = 0.2;
const CACHE_USE_HIGH = 0.5;
const CACHE_HIT_THRESHOLD = 0.2;
const WINDOW_STEP = 2;
const WINDOW_CUT = 0.5;

/** Takes an engine's report into the view. */
export function recordReport(
  state: BoxState,
  view: ServerView,
  report: EngineReport,
  nowMs: number,
): void {
  view.report = report;
  view.reportedAtMs = nowMs;
  view.openAttemptsAtReport = view.openAttempts.size;
  if (state.settings.policy.window === WindowPolicy.cacheAware) adaptWindow(view, report);
}

function adaptWindow(view: ServerView, report: EngineReport): void {
  const { slots } = view.spec;
  if (report.kvUsedShare < CACHE_USE_LOW) {
    view.cacheAwareWindow = Math.min(slots, view.cacheAwareWindow + WINDOW_STEP);
    return;
  }
  const thrashing = report.kvUsedShare > CACHE_USE_HIGH && report.kvHitShare < CACHE_HIT_THRESHOLD;
  if (thrashing) view.cacheAwareWindow = Math.max(1, view.cacheAwareWindow * WINDOW_CUT);
}

/** Requests that other boxes have at a server, by its last fresh report. */
export function otherBoxesLoad(view: ServerView, nowMs: number): number | undefined {
  if (view.report === undefined || nowMs - view.reportedAtMs > REPORT_MAX_AGE_MS) return undefined;
  return Math.max(0, view.report.running + view.report.waiting - view.openAttemptsAtReport);
}

/** How many more requests of a class this box may send to a server now. */
export function spareCapacity(
  state: BoxState,
  view: ServerView,
  requestClass: RequestClass,
  nowMs: number,
): number {
  const { policy } = state.settings;
  const window =
    windowSize(state, view) - urgentReserve(view, requestClass, policy.urgentReservedSlots);
  return windowShare(state, view, window, nowMs) - view.openAttempts.size;
}

/**
 * This box's part of a server's window: its exact share while the server is
 * hot, what a fresh report leaves otherwise, and part of the whole unheard.
 */
function windowShare(state: BoxState, view: ServerView, window: number, nowMs: number): number {
  const share = exactShare(state, view, window);
  if (nowMs < view.hotUntilMs) return share;
  const others = otherBoxesLoad(view, nowMs);
  const free = others === undefined ? Math.floor(window * NO_REPORT_SHARE) : window - others;
  return Math.max(share, free);
}

/** Shares of all boxes sum to the whole; the remainder goes to the first ranks. */
function exactShare(state: BoxState, view: ServerView, window: number): number {
  const sharing = state.sharingBoxes.get(view.spec.zone);
  const boxes = Math.max(1, sharing?.hashes.length ?? 1);
  const base = Math.floor(window / boxes);
  return base + (shareRank(state, view, sharing) < window % boxes ? 1 : 0);
}

/** Place of this box among those that share a server, by rendezvous; 0 is the first. */
function shareRank(state: BoxState, view: ServerView, sharing: SharingBoxes | undefined): number {
  if (sharing === undefined) return 0;
  if (view.cachedShareRank.version === sharing.version) return view.cachedShareRank.shareRank;
  const weight = rendezvousWeight(view.idHash, hashString(state.settings.boxId));
  const higherRanked = sharing.hashes.filter(
    (hash) => rendezvousWeight(view.idHash, hash) > weight,
  );
  view.cachedShareRank = { version: sharing.version, shareRank: higherRanked.length };
  return higherRanked.length;
}

function windowSize(state: BoxState, view: ServerView): number {
  const { policy } = state.settings;
  if (view.spec.kind === ServerKind.service) return view.spec.slots;
  const slots =
    policy.window === WindowPolicy.cacheAware ? Math.floor(view.cacheAwareWindow) : view.spec.slots;
  return slots + policy.engineQueueAllowance;
}

function urgentReserve(view: ServerView, requestClass: RequestClass, reserved: number): number {
  if (requestClass === RequestClass.urgent || view.spec.kind === ServerKind.service) return 0;
  return Math.min(reserved, Math.floor(view.spec.slots / 2));
}

/** Notes which boxes share each zone's servers; their places are worked out when needed. */
export function updateSharingBoxes(state: BoxState): void {
  for (const { name } of state.settings.zones) {
    const ids = sharingBoxIds(state, name);
    const idsKey = ids.join(' ');
    const before = state.sharingBoxes.get(name);
    if (before?.idsKey === idsKey) continue;
    const version = (before?.version ?? 0) + 1;
    state.sharingBoxes.set(name, { version, idsKey, hashes: ids.map(hashString) });
  }
}

/** Boxes that send to a zone's servers: the live ones of its site, or of the zone. */
function sharingBoxIds(state: BoxState, zone: string): string[] {
  const { settings } = state;
  if (!settings.policy.routeOverSite) return liveInZone(state.boxMembers, zone);
  const site = siteOfZone(settings, zone);
  const zones = settings.zones.filter((other) => other.site === site);
  return zones.flatMap(({ name }) => liveInZone(state.boxMembers, name));
}
