/** Checks of runs in which boxes receive spoiled bytes: what must hold whatever servers, the store and other boxes say. */
import { readFileSync } from 'node:fs';
import type { PlannedFault } from './fault.js';
import type { Violation } from './guaranteeBounds.js';
import { CallKind, type Call, type SoakRecord } from './soakRecord.js';
import type { SoakBox } from './soakWorld.js';

/** Time after which a caller was held past its deadline, in ms: the deadline and a tick with a margin. */
const MAX_HELD_MS = 3300;
/** Exceptions of the box's own code. */
const FAULT_LINE = /event=(?:eventFault|effectFault|uncaughtFault|boxBroken) .*/g;
/** Id of a request in an answer or event of a server, between unspoiled bytes. */
const REQUEST_ID = /(?:answer to |data: )(s\d+-\d+)(?:, whole| drafts-)/g;

/** Returns the faults of such a run: a partition, so that boxes connect through each other as well. */
export function spoiledRunFaults(lengthMs: number): PlannedFault[] {
  const forMs = Math.round(lengthMs / 2);
  const fault = { kind: 'serversPartitioned', boxes: [0], share: 1, how: 'reset', forMs } as const;
  return [{ atMs: Math.round(lengthMs / 4), fault }];
}

/** Checks a run in which no box is stopped or killed. */
export function findSpoiledRunViolations(
  record: SoakRecord,
  boxes: readonly SoakBox[],
): Violation[] {
  const requestIds = new Set(record.calls.map(({ requestId }) => requestId));
  return [
    ...record.endedBoxes.map((box) => ({ promise: 'no process ends', detail: `box ${box}` })),
    ...boxes.flatMap(checkLog),
    ...record.calls.flatMap((call) => [...checkHeld(call), ...foreignIds(call, requestIds)]),
    ...checkNotices(record),
  ];
}

function checkLog({ logPath }: SoakBox, index: number): Violation[] {
  const faults = [...new Set(readFileSync(logPath, 'utf8').match(FAULT_LINE) ?? [])];
  return faults.map((line) => ({
    promise: 'no exception of the own code',
    detail: `box ${index}: ${line}`,
  }));
}

function checkHeld({ kind, requestId, box, sentAtMs, endedAtMs }: Call): Violation[] {
  const heldMs = endedAtMs - sentAtMs;
  if (heldMs <= MAX_HELD_MS) return [];
  const detail = `${kind} ${requestId} at box ${box} after ${Math.round(heldMs)} ms`;
  return [{ promise: 'no caller held past its deadline', detail }];
}

/** Finds ids of other requests of the run in an answer; one that differs in a single place may be the own one, spoiled. */
function foreignIds({ requestId, body }: Call, requestIds: ReadonlySet<string>): Violation[] {
  const found = [...body.matchAll(REQUEST_ID)]
    .map(([, id = '']) => id)
    .filter((id) => requestIds.has(id) && differingPlaces(id, requestId) > 1);
  if (found.length === 0) return [];
  return [{ promise: 'own answer', detail: `${requestId} holds ${found.join(' ')}` }];
}

function differingPlaces(first: string, second: string): number {
  const [shorter, longer] = first.length < second.length ? [first, second] : [second, first];
  return [...longer].filter((character, place) => character !== shorter[place]).length;
}

/** Checks that no request that must not run twice did, and that refused ones did not run. */
function checkNotices({ calls, runs }: SoakRecord): Violation[] {
  const counts = new Map<string, number>();
  for (const { requestId, ran } of runs) {
    if (ran) counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return calls.flatMap(({ kind, requestId, status }) => {
    const ran = counts.get(requestId) ?? 0;
    if (kind !== CallKind.notice || ran === 0) return [];
    if (ran > 1) return [{ promise: 'at most once', detail: `${requestId} ran ${ran} times` }];
    const isRefused = status === 503 || status === 429;
    if (!isRefused) return [];
    return [{ promise: 'truthful refusal', detail: `${requestId} ran, status ${status}` }];
  });
}
