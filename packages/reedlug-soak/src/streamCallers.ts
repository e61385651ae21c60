/** Callers of streams that take a stream up at another box when its connection breaks. */
import { request, type IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from 'reedlug-standins';
import { drawVersions } from './versionFaultPlan.js';
import type { CalledStream, ReceivedEvent, StreamTry } from './calledStream.js';
import { SERVICE_HOST, type CallTarget } from './callers.js';

/** Load of streams, and the software versions of their servers. */
export interface StreamLoad {
  perSecond: number;
  /** Share of callers that leave after some events and take the stream up again. */
  leavingShare: number;
  /** Software versions of the servers, in turn. */
  versions: readonly string[];
  /** Longest pause before a caller takes up a broken stream, in ms; `DEFAULT_MAX_PAUSE_MS` if omitted. */
  maxPauseMs?: number;
  /** Whether faults of the versions are drawn beside the other faults. */
  addsFaults?: boolean;
}

/** Share of callers that leave in a drawn load, and their longest pause, in ms, which outlasts the loss of all boxes. */
const DRAWN_LEAVING_SHARE = 0.3;
const DRAWN_MAX_PAUSE_MS = 700;

/** Returns a load with versions drawn from the seed, and faults of these versions beside the other ones. */
export function drawStreamLoad(seed: number, perSecond: number): StreamLoad {
  const versions = drawVersions(seed);
  return {
    perSecond,
    leavingShare: DRAWN_LEAVING_SHARE,
    versions,
    maxPauseMs: DRAWN_MAX_PAUSE_MS,
    addsFaults: true,
  };
}

/** Header that names the parts of a prompt. */
export const PROMPT_PARTS_HEADER = 'x-reedlug-prompt-prefix';
/** Time for which a caller tries to get a stream, in ms, and maximum number of its attempts. */
const DEADLINE_MS = 5000;
const MAX_TRIES = 10;
/** Shortest pause before a caller takes up a broken stream, and the longest one where a load names none, in ms. */
const MIN_PAUSE_MS = 40;
const DEFAULT_MAX_PAUSE_MS = 200;

/** Calls a stream until it is complete, refused for good, or out of time. */
export async function callStream(params: {
  name: string;
  key: string;
  targets: readonly CallTarget[];
  /** Number of events after which the caller leaves in its first attempt; undefined if it stays. */
  leavesAfterEvents: number | undefined;
  /** Parts of its prompt as on the wire; undefined for none. */
  promptParts?: string | undefined;
  maxTries?: number;
  maxPauseMs?: number | undefined;
  /** Index of the box of the first attempt; a random one if omitted. */
  firstBox?: number | undefined;
  random: Random;
}): Promise<CalledStream> {
  const { name, key, targets, leavesAfterEvents, promptParts, random } = params;
  const { maxTries = MAX_TRIES, maxPauseMs = DEFAULT_MAX_PAUSE_MS } = params;
  const untilMs = performance.now() + DEADLINE_MS;
  const tries: StreamTry[] = [];
  while (tries.length < maxTries) {
    const randomBox = random.whole(0, targets.length - 1);
    const box = tries.length === 0 ? (params.firstBox ?? randomBox) : randomBox;
    const first = tries.find(({ events }) => events.length > 0);
    const { outcome, retryAfterMs } = await tryOnce({
      target: targets[box] as CallTarget,
      box,
      requestId: `${name}-${tries.length}`,
      key,
      deadlineMs: untilMs - performance.now(),
      resumes: first?.requestId,
      lastEventId: tries.flatMap(({ events }) => events).at(-1)?.id,
      leavesAfterEvents: first === undefined ? leavesAfterEvents : undefined,
      promptParts,
    });
    tries.push(outcome);
    if (outcome.isWhole) return { tries };
    const leftMs = untilMs - performance.now();
    const pauseMs = retryAfterMs ?? random.whole(MIN_PAUSE_MS, maxPauseMs);
    // A caller waits for up to a third of the time that it has left.
    if (pauseMs > leftMs / 3) return { tries };
    await delay(pauseMs);
  }
  return { tries };
}

interface TryResult {
  outcome: StreamTry;
  /** Set if the box refused the attempt with a time to come back. */
  retryAfterMs: number | undefined;
}

function tryOnce(params: {
  target: CallTarget;
  box: number;
  requestId: string;
  key: string;
  deadlineMs: number;
  resumes: string | undefined;
  lastEventId: number | undefined;
  leavesAfterEvents: number | undefined;
  promptParts: string | undefined;
}): Promise<TryResult> {
  const { target, box, requestId, key, resumes, lastEventId, leavesAfterEvents } = params;
  const { promptParts } = params;
  const sentAtMs = performance.now();
  const headers = {
    Host: SERVICE_HOST,
    Authorization: `Bearer ${key}`,
    'X-Reedlug-Request-Id': requestId,
    'X-Reedlug-Deadline-Ms': String(Math.max(1, Math.floor(params.deadlineMs))),
    ...(promptParts === undefined ? {} : { [PROMPT_PARTS_HEADER]: promptParts }),
    ...(resumes === undefined ? {} : { Resumes: resumes }),
    ...(lastEventId === undefined ? {} : { 'Last-Event-Id': String(lastEventId) }),
  };
  return new Promise((resolve) => {
    let status: number | undefined;
    let text = '';
    let retryAfterMs: number | undefined;
    const finish = (isComplete: boolean): void => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      const events = status === 200 ? eventsOf(text) : [];
      const isWhole = isComplete && status === 200;
      const failure = status === 200 ? '' : text;
      const outcome = {
        requestId,
        key,
        box,
        sentAtMs,
        endedAtMs,
        status,
        events,
        failure,
        isWhole,
      };
      resolve({ outcome, retryAfterMs });
    };
    const outgoing = request({
      ...target,
      agent: false,
      path: '/draft/t',
      method: 'POST',
      headers,
    });
    const timer = setTimeout(() => outgoing.destroy(), params.deadlineMs + 500);
    outgoing.on('response', (response: IncomingMessage) => {
      status = response.statusCode;
      const seconds = response.headers['retry-after'];
      if (seconds !== undefined) retryAfterMs = Number(seconds) * 1000;
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        const isLeaving = leavesAfterEvents !== undefined && status === 200;
        if (isLeaving && eventsOf(text).length >= leavesAfterEvents) outgoing.destroy();
      });
      response.on('error', () => undefined);
      response.on('close', () => finish(response.complete));
    });
    outgoing.on('error', () => {
      if (status === undefined) finish(false);
    });
    // Each caller has a body of its own, as a repeated one may be taken for a crash suspect.
    outgoing.end(`body of ${requestId.replace(/-\d+$/, '')}`);
  });
}

function eventsOf(text: string): ReceivedEvent[] {
  const matches = text.matchAll(/id: (\d+)\ndata: \S+ \S+@(\S+)\n\n/g);
  return [...matches].map(([, id = '0', version = '']) => ({ id: Number(id), version }));
}
