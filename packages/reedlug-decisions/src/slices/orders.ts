/**
 * Orders to engines, which bring them to their desired states. Only the holder of the
 * site's lease, one box at a time, sends orders.
 *
 * An order carries the whole desired state, so a repeated order is harmless. It also
 * carries the fencing token (fence) of the lease, by which an engine rejects the orders
 * of an earlier holder. An engine that does not check fences is sent a change of its
 * model or version only when it receives no requests and is idle.
 */
import {
  handleLeaseAnswer,
  leaseTick,
  liveInZone,
  orderValidForMs,
  takeTokens,
  usableFence,
  type TableAnswer,
} from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { EngineReport, DesiredEngineState } from '../types/order.js';
import type { BoxState, Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { nextId, siteOfZone } from '../state.js';
import { WANTED_PREFIX } from '../plans/items.js';
import { log } from './log.js';

/** Number of boxes of a site that try to acquire the lease. */
const LEASE_CANDIDATES = 2;
/** Interval between two checks of the lease, in ms. */
const LEASE_POLL_INTERVAL_MS = 100;
/** Time after which an order that no report confirms is sent again, in ms. */
const ORDER_RETRY_MS = 5000;

/** Maintains the lease and sends orders to engines that differ from their desired state. */
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

/** True for the first live boxes of the site by id, unless this box is shutting down. */
function isCandidate(state: BoxState): boolean {
  if (state.draining !== undefined) return false;
  const { settings } = state;
  const site = siteOfZone(settings, settings.zone);
  const ids = settings.zones
    .filter((zone) => zone.site === site)
    .flatMap((zone) => liveInZone(state.boxMembers, zone.name));
  return ids.sort().slice(0, LEASE_CANDIDATES).includes(settings.boxId);
}

/** Handles the table's answer to a lease operation. */
export function onLeaseAnswered(
  state: BoxState,
  step: Step,
  sentAtMs: number,
  answer: TableAnswer,
): void {
  const before = state.lease.held?.fence;
  handleLeaseAnswer(state.lease, answer, { sentAtMs, nowMs: step.nowMs });
  const after = state.lease.held?.fence;
  if (before !== after) log(step, 'leaseChanged', { fence: after ?? 0, held: after !== undefined });
}

/** Returns the fence for an order to a server, or undefined if no order may be sent now. */
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

/** Applies the rate limit of the weight store to an order that loads model weights. */
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

/** True if an engine that does not check fences must be drained and idle before the order. */
function mustWait(view: ServerView, wanted: DesiredEngineState): boolean {
  const { report, spec } = view;
  if (spec.checksFence || report === undefined) return false;
  if (!changesModel(report, wanted)) return false;
  return report.role === 'serve' || report.running + report.waiting > 0;
}

/** Logs the answer to an order. Only the engine's report tells whether the order took effect. */
export function onOrderAnswered(
  state: BoxState,
  step: Step,
  event: EventOf<'orderAnswered'>,
): void {
  log(step, 'orderAnswered', { order: event.orderId, answer: event.answer.kind });
}
