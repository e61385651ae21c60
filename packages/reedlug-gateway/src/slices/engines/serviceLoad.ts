/** Load of the services whose engines can be ordered, over all boxes and averaged over time. */
import type { ServiceLoad } from '../../policy/engineTarget.js';
import type { GatewayState, Step } from '../../state.js';
import type { LoadAverage } from '../../types/views.js';
import { countedPeers } from '../peers/fleet.js';

/** Time over which a rising load is averaged, in ms: shorter than an engine's start. */
const RISE_SMOOTHING_MS = 3000;
/** Time over which a falling load is averaged, in ms: an engine released too early costs another start. */
const FALL_SMOOTHING_MS = 20_000;
/** Time from the first request until the load counts as known, in ms; until then the initial engines are kept. */
const LOAD_KNOWN_AFTER_MS = 5000;
/** How long the initial engines are kept while no request arrives, in ms: callers may come a while after the boxes. */
const MAX_LOAD_WAIT_MS = 60_000;
/** Shortest time over which the load is averaged, in ms: one measurement. */
const MIN_SMOOTHING_MS = 250;

/** Measures the prompt tokens to read per second since the last measurement, and the requests in progress. */
export function measureLoad(state: GatewayState, elapsedMs: number, nowMs: number): void {
  const { workTokens, totalsFromBoxes, totalsFromHubs } = state;
  const total = workTokens + totalsFromBoxes.workTokens + totalsFromHubs.workTokens;
  const added = Math.max(0, total - state.workTokensAtLastPlan);
  state.workTokensAtLastPlan = total;
  const open = openRequests(state, nowMs);
  if (added > 0 || [...open.values()].some((requests) => requests > 0)) {
    state.loadSinceMs ??= nowMs;
  }
  const sinceMs = nowMs - (state.loadSinceMs ?? nowMs);
  const ratePerSecond = (added * 1000) / Math.max(1, elapsedMs);
  updateAverage(state.tokensPerSecond, { value: ratePerSecond, elapsedMs, sinceMs });
  for (const [service, value] of open) {
    const average = state.openRequests.get(service) ?? { recent: 0, long: 0 };
    updateAverage(average, { value, elapsedMs, sinceMs });
    state.openRequests.set(service, average);
  }
}

/** Adds a sample to an average; shortly after the first request the average covers only the time since then. */
function updateAverage(
  average: LoadAverage,
  sample: { value: number; elapsedMs: number; sinceMs: number },
): void {
  const { value, elapsedMs } = sample;
  const sinceMs = Math.max(MIN_SMOOTHING_MS, sample.sinceMs);
  const weightFor = (smoothingMs: number): number =>
    Math.min(1, elapsedMs / Math.min(smoothingMs, sinceMs));
  average.recent += (value - average.recent) * weightFor(RISE_SMOOTHING_MS);
  average.long += (value - average.long) * weightFor(FALL_SMOOTHING_MS);
}

function higherAverage({ recent, long }: LoadAverage): number {
  return Math.max(recent, long);
}

/** Returns the requests in progress of each service whose engines can be ordered, over all boxes. */
function openRequests(state: GatewayState, nowMs: number): Map<string, number> {
  const open = new Map<string, number>();
  for (const { name, scaling } of state.active?.configuration.services ?? []) {
    if (scaling !== undefined) open.set(name, 0);
  }
  const add = (service: string | undefined, running: number): void => {
    const known = service === undefined ? undefined : open.get(service);
    if (service !== undefined && known !== undefined) open.set(service, known + running);
  };
  for (const view of state.servers.values()) add(view.entry.service, view.running);
  for (const { message } of countedPeers(state, nowMs)) {
    for (const [id, { running }] of Object.entries(message.loads)) {
      add(state.servers.get(id)?.entry.service, running);
    }
  }
  return open;
}

/** Returns the load of a service, which follows rises quickly and falls slowly. */
export function loadOf(state: GatewayState, service: string): ServiceLoad {
  const open = state.openRequests.get(service);
  return {
    openRequests: open === undefined ? 0 : higherAverage(open),
    tokensPerSecond: higherAverage(state.tokensPerSecond),
  };
}

/** Whether the load has been measured for long enough to order engines by it. */
export function isLoadKnown(state: GatewayState, step: Step): boolean {
  if (state.loadSinceMs === undefined) return step.nowMs - state.startedAtMs >= MAX_LOAD_WAIT_MS;
  return step.nowMs - state.loadSinceMs >= LOAD_KNOWN_AFTER_MS;
}
