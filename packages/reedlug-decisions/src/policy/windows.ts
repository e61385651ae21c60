/**
 * Window of a server: the number of requests that may be in progress there.
 *
 * `fixed`: the engine's slots plus an allowance for its queue. `cacheAware`: additive
 * increase and multiplicative decrease by cache use and hit share, after CONCUR (see
 * docs/design/windows.md). A box uses what the other boxes leave free according to the
 * server's last report, or a fixed part of the window without a fresh report, but at
 * least an even share.
 */
import { hashString, liveInZone, rendezvousWeight } from 'reedlug-coordination';
import type { EngineReport } from '../types/order.js';
import { RequestClass, ServerKind, WindowPolicy } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { ServerView, SharingBoxes } from '../types/views.js';
import { siteOfZone } from '../state.js';

/** Maximum age of a report from which the load of other boxes is computed, in ms. */
const REPORT_MAX_AGE_MS = 2500;

/** Share of the window that a box may use at a server without a fresh report, if it is not hot. */
const NO_REPORT_SHARE = 0.5;

/** Constants of CONCUR: thresholds of cache use and hit share, increase and decrease factor. */
const CACHE_USE_LOW = 0.2;
const CACHE_USE_HIGH = 0.5;
const CACHE_HIT_THRESHOLD = 0.2;
const WINDOW_STEP = 2;
const WINDOW_CUT = 0.5;

/** Stores the report of an engine and adapts its cache-aware window. */
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

/** Returns the number of requests of other boxes at a server, or undefined without a fresh report. */
export function otherBoxesLoad(view: ServerView, nowMs: number): number | undefined {
  if (view.report === undefined || nowMs - view.reportedAtMs > REPORT_MAX_AGE_MS) return undefined;
  return Math.max(0, view.report.running + view.report.waiting - view.openAttemptsAtReport);
}

/** Returns how many more requests of a class this box may send to a server. */
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
 * Returns the part of a server's window that this box may use: its exact share while
 * the server is hot, otherwise what other boxes leave free by a fresh report, or a
 * fixed part of the window without one.
 */
function windowShare(state: BoxState, view: ServerView, window: number, nowMs: number): number {
  const share = exactShare(state, view, window);
  if (nowMs < view.hotUntilMs) return share;
  const others = otherBoxesLoad(view, nowMs);
  const free = others === undefined ? Math.floor(window * NO_REPORT_SHARE) : window - others;
  return Math.max(share, free);
}

/** Returns this box's share. The shares of all boxes add up to the window; first ranks get the remainder. */
function exactShare(state: BoxState, view: ServerView, window: number): number {
  const sharing = state.sharingBoxes.get(view.spec.zone);
  const boxes = Math.max(1, sharing?.hashes.length ?? 1);
  const base = Math.floor(window / boxes);
  return base + (shareRank(state, view, sharing) < window % boxes ? 1 : 0);
}

/** Returns the rendezvous rank of this box among those that share a server; 0 is the first. */
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

/** Updates which boxes share the servers of each zone; share ranks are computed when needed. */
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

/** Returns the boxes that send to a zone's servers: the live ones of its site, or of the zone. */
function sharingBoxIds(state: BoxState, zone: string): string[] {
  const { settings } = state;
  if (!settings.policy.routeOverSite) return liveInZone(state.boxMembers, zone);
  const site = siteOfZone(settings, zone);
  const zones = settings.zones.filter((other) => other.site === site);
  return zones.flatMap(({ name }) => liveInZone(state.boxMembers, name));
}
