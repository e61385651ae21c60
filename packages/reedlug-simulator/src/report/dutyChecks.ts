/** Checks the calls that boxes make under the duty lease, and that some box holds it. */
import { usableFence } from 'reedlug-coordination';
import type { CloudCall, CloudOutcome } from 'reedlug-gateway';
import { nowMs, type World } from '../world.js';
import type { VirtualBox } from '../boxes/virtualBox.js';

/** Maximum time beyond the lease's duration until some box holds it again, in ms. */
const REACQUIRE_SLACK_MS = 2000;
/** Interval between checks whether any box holds the lease, in ms. */
const POLL_INTERVAL_MS = 100;

/** Accepts a call as the platform does, or refuses it because of a lower fence. */
export function recordDutyCall(
  world: World,
  { call, holder, fence }: { call: CloudCall; holder: string; fence: number },
): Extract<CloudOutcome, 'done' | 'fenced'> {
  const { duties } = world.record;
  const subject = subjectOf(call);
  if (fence < (duties.highestFences.get(subject) ?? 0)) return 'fenced';
  duties.highestFences.set(subject, fence);
  recordFence(world, `${subject} ${fence}`, holder);
  recordHolder(world, holder);
  if (call.kind === 'reportUsage') recordReport(world, call.window, call.counts);
  return 'done';
}

function subjectOf(call: CloudCall): string {
  return call.kind === 'reportUsage' ? 'usage' : `engines ${call.service} ${call.zone}`;
}

function recordFence(world: World, fence: string, holder: string): void {
  const { duties, broken } = world.record;
  const other = duties.holderByFence.get(fence) ?? holder;
  duties.holderByFence.set(fence, holder);
  if (other === holder) return;
  broken.push({ promise: 'oneHolderAFence', detail: `${fence}: ${other}, ${holder}` });
}

/** Checks that within one lease's duration no holder calls again after another one has called. */
function recordHolder(world: World, holder: string): void {
  const { duties, broken } = world.record;
  const sinceMs = nowMs(world) - world.scene.bounds.leaseMs;
  duties.calls = duties.calls.filter(({ atMs }) => atMs > sinceMs);
  const first = duties.calls.findIndex((call) => call.holder === holder);
  const other = duties.calls.slice(first + 1).find((call) => call.holder !== holder);
  if (first >= 0 && other !== undefined) {
    broken.push({ promise: 'holdersInOrder', detail: `${holder}, ${other.holder}, ${holder}` });
  }
  duties.calls.push({ atMs: nowMs(world), holder });
}

function recordReport(
  world: World,
  window: number,
  counts: Readonly<Record<string, number>>,
): void {
  const { duties, broken } = world.record;
  const text = JSON.stringify(Object.entries(counts).sort(([a], [b]) => a.localeCompare(b)));
  const before = duties.reports.get(window) ?? text;
  duties.reports.set(window, before);
  if (before === text) return;
  broken.push({ promise: 'oneReportAWindow', detail: `${window}: ${before}, ${text}` });
}

/** Records a fault of the given length; the time limit for a new holder starts at its end. */
export function recordDutyOutage(world: World, forMs: number): void {
  const { duties } = world.record;
  duties.outageUntilMs = Math.max(duties.outageUntilMs, nowMs(world) + forMs);
}

/** Checks periodically whether a box holds the lease. */
export function watchDutyLease(world: World): void {
  const { duties, broken } = world.record;
  const isHeld = [...world.boxes.values()].some((box) => box.isListening && holdsLease(world, box));
  if (isHeld) {
    duties.lastHeldAtMs = nowMs(world);
    duties.isUnheldRecorded = false;
  } else if (duties.lastHeldAtMs !== undefined && !duties.isUnheldRecorded) {
    const sinceMs = Math.max(duties.lastHeldAtMs, duties.outageUntilMs);
    const unheldMs = nowMs(world) - sinceMs;
    duties.isUnheldRecorded = unheldMs > world.scene.bounds.leaseMs + REACQUIRE_SLACK_MS;
    if (duties.isUnheldRecorded) {
      broken.push({ promise: 'leaseHeldAgain', detail: `not ${Math.round(unheldMs)} ms later` });
    }
  }
  world.queue.at(nowMs(world) + POLL_INTERVAL_MS, () => watchDutyLease(world));
}

function holdsLease(world: World, { state, startedAtMs }: VirtualBox): boolean {
  if (state.stoppingSinceMs !== undefined) return false;
  return usableFence(state.lease, nowMs(world) - startedAtMs, true) !== undefined;
}
