/**
 * Checks whether requests that were refused by a workspace's limit would have been within the limit.
 *
 * A box decides by its own share of the limit alone. The units that all boxes sent in the window
 * before a refusal, summed over their logs, show whether the whole limit was used up.
 */
import { parseLogLine, type LogLine } from './explainRequest.js';

/** Refusal, and the units that all boxes had sent for the workspace in the window before it. */
export interface LimitRefusal {
  box: string;
  workspace: string;
  units: number;
  fleetUsed: number;
  fleetAllowed: number;
  /** Whether the box had received its share of the limits less than a window before. */
  isAfterStart: boolean;
  /** Whether the units were reserved until the caller returns. */
  isReserved: boolean;
}

/** Summary of one workspace's refusals. */
export interface LimitRefusalSummary {
  workspace: string;
  refusals: number;
  /** Number of refusals that were within the whole limit, and how many of those happened right after the start of a box. */
  within: number;
  withinAfterStart: number;
  /** Median share of the whole limit that was used at the refusals within it. */
  medianUsedShare: number;
  /**
   * Number of refusals whose units were reserved until the caller returns; missing if there are
   * none.
   */
  reserved?: number;
}

interface SentUnits {
  atMs: number;
  units: number;
}

/** Finds the refusals by limits in the logs of all boxes; `windowMs` is the configured limit window. */
export function limitRefusals(logText: string, windowMs: number): LimitRefusal[] {
  const lines = logText
    .split('\n')
    .filter((text) => /limitReached|requestSent|partHeld|unitsReserved/.test(text));
  const parsed = lines.map(parseLogLine).filter((line) => line !== undefined);
  parsed.sort((a, b) => a.time.localeCompare(b.time));
  const sent = new Map<string, SentUnits[]>();
  const shareHeldAtMs = new Map<string, number>();
  const refusals: LimitRefusal[] = [];
  const reserved = new Set<string>();
  for (const line of parsed) {
    if (line.event === 'unitsReserved') reserved.add(textOf(line, 'request'));
  }
  for (const line of parsed) {
    const atMs = Date.parse(line.time);
    const [box, workspace] = [textOf(line, 'box'), textOf(line, 'workspace')];
    if (line.event === 'partHeld') shareHeldAtMs.set(box, atMs);
    if (line.event === 'requestSent') {
      const known = sent.get(workspace) ?? [];
      known.push({ atMs, units: numberOf(line, 'units') });
      sent.set(workspace, known);
    }
    if (line.event !== 'limitReached') continue;
    refusals.push({
      box,
      workspace,
      units: numberOf(line, 'units'),
      fleetUsed: usedSince(sent.get(workspace) ?? [], atMs - windowMs),
      fleetAllowed: numberOf(line, 'allowed') * numberOf(line, 'divisor'),
      isReserved: reserved.has(textOf(line, 'request')),
      isAfterStart: atMs - (shareHeldAtMs.get(box) ?? Number.NEGATIVE_INFINITY) < windowMs,
    });
  }
  return refusals;
}

function usedSince(sent: readonly SentUnits[], sinceMs: number): number {
  let units = 0;
  for (let index = sent.length - 1; index >= 0; index -= 1) {
    const { atMs, units: more } = sent[index] as SentUnits;
    if (atMs <= sinceMs) break;
    units += more;
  }
  return units;
}

/** Summarizes refusals by workspace, in descending order of their number. */
export function summarizeLimitRefusals(refusals: readonly LimitRefusal[]): LimitRefusalSummary[] {
  const names = [...new Set(refusals.map(({ workspace }) => workspace))];
  const rows = names.map((workspace) => {
    const own = refusals.filter((refusal) => refusal.workspace === workspace);
    const within = own.filter(({ fleetUsed, units, fleetAllowed }) => {
      return fleetUsed + units <= fleetAllowed;
    });
    const shares = within.map(({ fleetUsed, fleetAllowed }) => fleetUsed / fleetAllowed);
    shares.sort((a, b) => a - b);
    const reserved = own.filter(({ isReserved }) => isReserved).length;
    return {
      workspace,
      refusals: own.length,
      within: within.length,
      withinAfterStart: within.filter(({ isAfterStart }) => isAfterStart).length,
      medianUsedShare: shares[Math.floor(shares.length / 2)] ?? 0,
      ...(reserved > 0 ? { reserved } : {}),
    };
  });
  return rows.sort((a, b) => b.refusals - a.refusals);
}

function textOf({ fields }: LogLine, name: string): string {
  return fields.get(name) ?? '';
}

function numberOf(line: LogLine, name: string): number {
  return Number(textOf(line, name)) || 0;
}
