/**
 * How many requests may be in progress at an engine.
 *
 * `fixed`: the engine's slots plus an allowance, less what other boxes have
 * there by the engine's last report; an even share where no fresh report is
 * known. `cacheAware`: additive increase and multiplicative decrease on cache
 * use and hit share, after CONCUR (see docs/design/windows.md).
 */
import { liveInZone } from 'reedlug-coordination';
import type { EngineReport } from '../types/order.js';
import { RequestClass, ServerKind, WindowPolicy } from '../types/settings.js';
import type { BoxState, ServerView } from '../state.js';
import { siteOfZone } from '../state.js';

/** How long a report says something about the other boxes' load. */
const REPORT_FRESH_MS = 2500;

/** CONCUR's constants: thresholds of cache use and hit share, step and cut. */
const CACHE_USE_LOW = 0.2;
const CACHE_USE_HIGH = 0.5;
const CACHE_HIT_THRESHOLD = 0.2;
const WINDOW_STEP = 2;
const WINDOW_CUT = 0.5;

/** Takes an engine's report into the view. */
export function noteReport(
  state: BoxState,
  view: ServerView,
  report: EngineReport,
  nowMs: number,
): void {
  view.report = report;
  view.reportedAtMs = nowMs;
  view.openAtReport = view.openAttempts.size;
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
export function othersAt(view: ServerView, nowMs: number): number | undefined {
  if (view.report === undefined || nowMs - view.reportedAtMs > REPORT_FRESH_MS) return undefined;
  return Math.max(0, view.report.running + view.report.waiting - view.openAtReport);
}

/** How many more requests of a class this box may send to a server now. */
export function roomAt(
  state: BoxState,
  view: ServerView,
  requestClass: RequestClass,
  nowMs: number,
): number {
  const { policy } = state.settings;
  const reserved = reservedFor(view, requestClass, policy.urgentReservedSlots);
  const whole = windowOf(state, view) - reserved;
  const share = Math.ceil(whole / boxesSharing(state, view));
  const others = othersAt(view, nowMs);
  const limit = others === undefined ? share : Math.max(share, whole - others);
  return limit - view.openAttempts.size;
}

function windowOf(state: BoxState, view: ServerView): number {
  const { policy } = state.settings;
  if (view.spec.kind === ServerKind.service) return view.spec.slots;
  const slots =
    policy.window === WindowPolicy.cacheAware ? Math.floor(view.cacheAwareWindow) : view.spec.slots;
  return slots + policy.engineQueueAllowance;
}

function reservedFor(view: ServerView, requestClass: RequestClass, reserved: number): number {
  if (requestClass === RequestClass.urgent || view.spec.kind === ServerKind.service) return 0;
  return Math.min(reserved, Math.floor(view.spec.slots / 2));
}

/** Boxes that send to a server: those of its site, or of its zone. */
function boxesSharing(state: BoxState, view: ServerView): number {
  const { settings } = state;
  if (!settings.policy.routeOverSite) {
    return Math.max(1, liveInZone(state.boxMembers, view.spec.zone).length);
  }
  const site = siteOfZone(settings, view.spec.zone);
  let count = 0;
  for (const zone of settings.zones) {
    if (zone.site === site) count += liveInZone(state.boxMembers, zone.name).length;
  }
  return Math.max(1, count);
}
