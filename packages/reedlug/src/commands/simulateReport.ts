/** Formats the reports of simulations as text. */
import { median } from 'reedlug-check';
import type { OutcomeRow, SceneReport, WorkspaceRow } from 'reedlug-simulator';
import { formatTable } from './textTable.js';

/** A figure of a report that is printed and compared between runs. */
interface Figure {
  name: string;
  of: (report: SceneReport) => number;
  digits: number;
}

const FIGURES: readonly Figure[] = [
  { name: 'earned, whole', of: ({ earned }) => earned.whole, digits: 3 },
  { name: 'earned, worst spans', of: ({ earned }) => earned.worstSpans, digits: 3 },
  { name: 'earned, worst class', of: ({ earned }) => earned.worstClass, digits: 3 },
  { name: 'earned, worst zone', of: ({ earned }) => earned.worstZone, digits: 3 },
  {
    name: 'largest prompts in time',
    of: ({ largestPromptsInTime }) => largestPromptsInTime,
    digits: 3,
  },
  { name: 'asked', of: ({ whole }) => whole.asked, digits: 0 },
  { name: 'in time', of: ({ whole }) => whole.inTime, digits: 0 },
  { name: 'late', of: ({ whole }) => whole.late, digits: 0 },
  { name: 'late by a pause', of: ({ lateByGap }) => lateByGap, digits: 0 },
  { name: 'refused', of: ({ whole }) => whole.refused, digits: 0 },
  { name: 'refused twice', of: sumOfWorkspaces('refusedTwice'), digits: 0 },
  { name: 'served after refusal', of: sumOfWorkspaces('servedAfterRefusal'), digits: 0 },
  { name: 'fairness while short', of: ({ fairness }) => fairness.mean, digits: 3 },
  { name: 'fairness, worst span', of: ({ fairness }) => fairness.worst, digits: 3 },
  { name: 'spans short of capacity', of: ({ fairness }) => fairness.shortSpans, digits: 0 },
  { name: 'failed', of: ({ whole }) => whole.failed, digits: 0 },
  { name: 'held unserved p50, ms', of: ({ heldUnservedMs }) => heldUnservedMs.p50, digits: 0 },
  { name: 'repeats', of: ({ repeats }) => repeats, digits: 0 },
  { name: 'engine seconds, priced', of: ({ engineSeconds }) => engineSeconds.priced, digits: 0 },
  { name: 'orders', of: ({ orders }) => orders, digits: 0 },
  { name: 'store calls', of: storeCalls, digits: 0 },
  { name: 'tokens read, 1,000', of: ({ readTokens }) => readTokens / 1000, digits: 0 },
  {
    name: 'shared ones again, 1,000',
    of: ({ readSharedTokens }) => readSharedTokens / 1000,
    digits: 0,
  },
  { name: 'datagrams a box and s', of: (report) => report.datagramsPerBoxSecond, digits: 1 },
  { name: 'reducer ms a box and s', of: (report) => report.reducerMsPerBoxSecond, digits: 2 },
  { name: 'broken promises', of: ({ broken }) => broken.length, digits: 0 },
];

function storeCalls(report: SceneReport): number {
  return Object.values(report.storeCalls).reduce((sum, calls) => sum + calls, 0);
}

function sumOfWorkspaces(
  field: 'refusedTwice' | 'servedAfterRefusal',
): (report: SceneReport) => number {
  return ({ byWorkspace }) => byWorkspace.reduce((sum, row) => sum + row[field], 0);
}

/** Formats one run in full, or the median, minimum and maximum of the figures of several runs. */
export function reportLines(reports: readonly SceneReport[]): string[] {
  const [only] = reports;
  if (only === undefined) return [];
  if (reports.length === 1) return [...figureLines(reports), '', ...detailLines(only)];
  return [...figureLines(reports), ...brokenLines(reports)];
}

function figureLines(reports: readonly SceneReport[]): string[] {
  const several = reports.length > 1;
  const rows = FIGURES.map(({ name, of, digits }) => {
    const values = reports.map(of);
    const text = (value: number): string => value.toFixed(digits);
    const ends = several ? [text(Math.min(...values)), text(Math.max(...values))] : [];
    return [name, text(median(values)), ...ends];
  });
  const ends = several ? ['LEAST', 'MOST'] : [];
  return formatTable(['FIGURE', several ? 'MEDIAN' : 'VALUE', ...ends], rows);
}

function brokenLines(reports: readonly SceneReport[]): string[] {
  return reports.flatMap(({ seed, broken }) =>
    broken.map(({ promise, detail }) => `broken: seed ${seed} ${promise}: ${detail}`),
  );
}

function detailLines(report: SceneReport): string[] {
  const pairs = (counts: Readonly<Record<string, number>>): string =>
    Object.entries(counts)
      .sort(([, a], [, b]) => b - a)
      .map(([name, count]) => `${name}: ${count}`)
      .join(', ');
  const times = Object.entries(report.firstEventMs).map(
    ([name, { p50, p99 }]) => `${name}: ${p50}/${p99}`,
  );
  const largest = Object.entries(report.largestPromptsInTimeByClass).map(
    ([name, share]) => `${name}: ${share.toFixed(3)}`,
  );
  const { engineSeconds } = report;
  return [
    ...outcomeLines('CLASS', report.byClass),
    '',
    ...outcomeLines('ZONE', report.byZone),
    '',
    ...workspaceLines('WORKSPACE', report.byWorkspace),
    '',
    ...workspaceLines('WORKSPACE, CLASS', report.byWorkspaceClass),
    '',
    ...outcomeLines('FROM SECOND', report.bySpan),
    '',
    ...limitRefusalLines(report),
    `first event p50/p99, ms: ${times.join(', ')}`,
    `largest tenth in time: ${largest.join(', ')}`,
    `refused: ${pairs(report.refusedBy)}`,
    `failed: ${pairs(report.failedBy)}`,
    `store calls: ${pairs(report.storeCalls)}`,
    streamLine(report),
    `engine seconds: on-demand ${engineSeconds.onDemand.toFixed(0)}, reclaimable ${engineSeconds.reclaimable.toFixed(0)}`,
    ...brokenLines([report]),
  ];
}

function streamLine({ streams: { mixed, fresh, takenUp } }: SceneReport): string {
  return `streams: new ${fresh.begun} of ${fresh.attempts}, taken up ${takenUp.begun} of ${takenUp.attempts}, of several software versions ${mixed}`;
}

function workspaceLines(label: string, rows: readonly WorkspaceRow[]): string[] {
  const header = [
    label,
    'ASKED',
    'IN TIME',
    'LATE',
    'REFUSED',
    'REFUSED TWICE',
    'SERVED AFTER REFUSAL',
    'FAILED',
  ];
  return formatTable(
    header,
    rows.map((row) => [
      row.name,
      row.asked,
      row.inTime,
      row.late,
      row.refused,
      row.refusedTwice,
      row.servedAfterRefusal,
      row.failed,
    ]),
  );
}

function outcomeLines(label: string, rows: readonly OutcomeRow[]): string[] {
  const header = [label, 'ASKED', 'IN TIME', 'LATE', 'REFUSED', 'FAILED', 'LEFT', 'EARNED'];
  return formatTable(
    header,
    rows.map((row) => [
      row.name,
      row.asked,
      row.inTime,
      row.late,
      row.refused,
      row.failed,
      row.left,
      row.share.toFixed(3),
    ]),
  );
}

/** Returns the refusals by limits; none if there were none. */
function limitRefusalLines({ limitRefusals }: SceneReport): string[] {
  if (limitRefusals.every(({ tries }) => tries === 0)) return [];
  const header = ['LIMIT', 'ASKED', 'REFUSED', 'INSIDE', 'TRIES', 'INSIDE'];
  const rows = limitRefusals.map((row) => [
    row.name,
    row.asked,
    row.refused,
    row.refusedInside,
    row.tries,
    row.triesInside,
  ]);
  return [...formatTable(header, rows), ''];
}

/** Formats two sets of runs side by side, with the differences for the seeds in both sets. */
export function comparisonLines(
  before: readonly SceneReport[],
  after: readonly SceneReport[],
): string[] {
  const beforeBySeed = new Map(before.map((report) => [report.seed, report]));
  const pairs = after.flatMap((report) => {
    const earlier = beforeBySeed.get(report.seed);
    return earlier === undefined ? [] : [{ before: earlier, after: report }];
  });
  if (pairs.length === 0) return ['the two sets of runs have no seed in common'];
  const rows = FIGURES.map(({ name, of, digits }) => {
    const text = (value: number): string => value.toFixed(digits);
    const differences = pairs.map((pair) => of(pair.after) - of(pair.before));
    return [
      name,
      text(median(pairs.map((pair) => of(pair.before)))),
      text(median(pairs.map((pair) => of(pair.after)))),
      differences.map(text).join(' '),
    ];
  });
  return formatTable(['FIGURE', 'BEFORE', 'AFTER', 'DIFFERENCE BY SEED'], rows);
}
