/**
 * Whether refusals by a workspace's limit were within it, by what all boxes had sent.
 *
 * A box decides by its part alone. Added up over the logs of all boxes, the units of the
 * window before a refusal tell what the whole limit would have held.
 */
import { parseLogLine, type LogLine } from './explainRequest.js';

/** A refusal beside what all boxes had sent of the workspace in the window before. */
export interface LimitRefusal {
  box: string;
  workspace: string;
  units: number;
  fleetUsed: number;
  fleetAllowed: number;
  /** The box had begun to hold its part less than a window before. */
  isAfterStart: boolean;
}

/** Refusals of one workspace. */
export interface LimitRefusalSummary {
  workspace: string;
  refusals: number;
  /** Those that the whole limit would have held, and how many of them came at a box right after its start. */
  within: number;
  withinAfterStart: number;
  /** Share of the whole limit that was used at the refusals within it: the middle one. */
  medianUsedShare: number;
}

interface SentUnits {
  atMs: number;
  units: number;
}

/** Refusals by limits in the logs of all boxes; `windowMs` is the users' window. */
export function limitRefusals(logText: string, windowMs: number): LimitRefusal[] {
  const lines = logText
    .split('\n')
    .filter((text) => /limitReached|requestSent|partHeld/.test(text));
  const parsed = lines.map(parseLogLine).filter((line) => line !== undefined);
  parsed.sort((a, b) => a.time.localeCompare(b.time));
  const sent = new Map<string, SentUnits[]>();
  const shareHeldAtMs = new Map<string, number>();
  const refusals: LimitRefusal[] = [];
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

/** Sums refusals up by workspace, the one with the most first. */
export function summarizeLimitRefusals(refusals: readonly LimitRefusal[]): LimitRefusalSummary[] {
  const names = [...new Set(refusals.map(({ workspace }) => workspace))];
  const rows = names.map((workspace) => {
    const own = refusals.filter((refusal) => refusal.workspace === workspace);
    const within = own.filter(({ fleetUsed, units, fleetAllowed }) => {
      return fleetUsed + units <= fleetAllowed;
    });
    const shares = within.map(({ fleetUsed, fleetAllowed }) => fleetUsed / fleetAllowed);
    shares.sort((a, b) => a - b);
    return {
      workspace,
      refusals: own.length,
      within: within.length,
      withinAfterStart: within.filter(({ isAfterStart }) => isAfterStart).length,
      medianUsedShare: shares[Math.floor(shares.length / 2)] ?? 0,
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
