/**
 * Orders to engines, sent under the lease as wanted end states.
 *
 * An order repeats the whole wanted state, so that a second one harms nothing.
 * To an engine that does not check fences a change of model or role waits until
 * the engine is out of routing and idle.
 */
import {
  leaseAnswered,
  leaseTick,
  liveInZone,
  orderValidForMs,
  takeTokens,
  usableFence,
  type TableAnswer,
} from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { EngineReport, DesiredEngineState } from '../types/order.js';
import type { BoxState, ServerView, Step } from '../state.js';
import { nextId, siteOfZone } from '../state.js';
import { WANTED_PREFIX } from '../plans/items.js';
import { log } from './log.js';

/** Boxes of a site that try to hold the lease. */
const LEASE_CANDIDATES = 2;
/** Time between two looks at the lease, in ms. */
const LEASE_POLL_INTERVAL_MS = 100;
/** An order that has not shown in a report is sent again after this long, in ms. */
const ORDER_RETRY_MS = 5000;

/** Keeps the lease and sends what differs from the wanted states. */
export function ordersTick(state: BoxState, step: Step): void {
  pollLease(state, step);
  for (const [name, item] of state.config.items) {
    if (!name.startsWith(WANTED_PREFIX)) continue;
    const view = state.servers.get(name.slice(WANTED_PREFIX.length));
    if (view !== undefined) reconcile(state, step, view, item.value as DesiredEngineState);
  }
}

function pollLease(state: BoxState, step: Step): void {
  if (step.nowMs < state.nextLeasePollAtMs) return;
  state.nextLeasePollAtMs = step.nowMs + LEASE_POLL_INTERVAL_MS;
  if (state.lease.held === undefined && !isCandidate(state)) return;
  if (state.mutations.has('reuseFence')) state.lease.highestFence = 0;
  const op = leaseTick(state.lease, step.nowMs);
  if (op === undefined) return;
  const opId = nextId(state, 'op');
  state.tableOps.set(opId, { kind: 'lease', sentAtMs: step.nowMs });
  step.effects.push({ type: 'requestTable', opId, op });
}

/** The first live boxes of the site by id; a box that leaves does not take the lease. */
function isCandidate(state: BoxState): boolean {
  if (state.draining !== undefined) return false;
  const { settings } = state;
  const site = siteOfZone(settings, settings.zone);
  const ids = settings.zones
    .filter((zone) => zone.site === site)
    .flatMap((zone) => liveInZone(state.boxMembers, zone.name));
  return ids.sort().slice(0, LEASE_CANDIDATES).includes(settings.boxId);
}

/** Takes the table's answer to a lease operation. */
export function onLeaseAnswered(
  state: BoxState,
  step: Step,
  sentAtMs: number,
  answer: TableAnswer,
): void {
  const before = state.lease.held?.fence;
  leaseAnswered(state.lease, answer, { sentAtMs, nowMs: step.nowMs });
  const after = state.lease.held?.fence;
  if (before !== after) log(step, 'leaseChanged', { fence: after ?? 0, held: after !== undefined });
}

/** The fence for an order to a server now, or undefined. */
export function fenceFor(state: BoxState, nowMs: number, checksFence: boolean): number | undefined {
  const { lastFence } = state.lease;
  if (state.mutations.has('skipLeaseMargin') && lastFence > 0) return lastFence;
  return usableFence(state.lease, nowMs, checksFence);
}

function reconcile(
  state: BoxState,
  step: Step,
  view: ServerView,
  wanted: DesiredEngineState,
): void {
  if (view.report === undefined || matchesReport(view.report, wanted)) return;
  const fence = fenceFor(state, step.nowMs, view.spec.checksFence);
  if (fence === undefined || mustWait(view, wanted)) return;
  const wantedKey = JSON.stringify(wanted);
  const sent = state.ordersSent.get(view.spec.id);
  const isRepeat = sent?.wantedKey === wantedKey && step.nowMs - sent.atMs < ORDER_RETRY_MS;
  if (isRepeat || !weightLoadAllowed(state, view.report, wanted, step.nowMs)) return;
  const orderId = nextId(state, 'order');
  state.ordersSent.set(view.spec.id, { atMs: step.nowMs, wantedKey });
  step.effects.push({
    type: 'sendOrder',
    orderId,
    serverId: view.spec.id,
    wanted,
    fence,
    validForMs: orderValidForMs(state.lease, step.nowMs),
  });
}

function matchesReport(report: EngineReport, wanted: DesiredEngineState): boolean {
  return (
    report.model === wanted.model &&
    report.version === wanted.version &&
    report.role === wanted.role
  );
}

/** An order that loads weights waits for the store's rate; any other goes at once. */
function weightLoadAllowed(
  state: BoxState,
  report: EngineReport,
  wanted: DesiredEngineState,
  nowMs: number,
): boolean {
  if (!changesModel(report, wanted)) return true;
  return takeTokens(state.weightLoadBucket, 1, nowMs) === 0;
}

function changesModel(report: EngineReport, wanted: DesiredEngineState): boolean {
  return report.model !== wanted.model || report.version !== wanted.version;
}

/** A harmful order to an engine that checks no fence waits until it is drained and idle. */
function mustWait(view: ServerView, wanted: DesiredEngineState): boolean {
  const { report, spec } = view;
  if (spec.checksFence || report === undefined) return false;
  if (!changesModel(report, wanted)) return false;
  return report.role === 'serve' || report.running + report.waiting > 0;
}

/** Takes the answer to an order; what it did is believed only from the engine's report. */
export function onOrderAnswered(
  state: BoxState,
  step: Step,
  event: EventOf<'orderAnswered'>,
): void {
  log(step, 'orderAnswered', { order: event.orderId, answer: event.answer.kind });
}
