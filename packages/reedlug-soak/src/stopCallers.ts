/**
 * Callers of boxes that are stopped one after another: each keeps a connection, on which it sends groups of requests at
 * once, and comes back to another box when it is refused.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, type Random } from 'reedlug-standins';
import { SERVICE_HOST, type CallTarget } from './callers.js';
import type { LoadContext } from './callLoad.js';
import type { PlannedFault } from './fault.js';
import { createPlanRandom } from './faultPlan.js';
import { CallKind, overlaps, type Call } from './soakRecord.js';

/** Number of such callers, and groups of requests that each sends a second. */
export interface StopLoad {
  callers: number;
  perSecond: number;
}

/** Time-out of routes whose answers may take up to 1.9 s, and the deadline that callers state, in ms. */
export const SLOW_ROUTE_TIMEOUT_MS = 2500;
const DEADLINE_MS = 3000;
/** Time after which a caller gives a connection up, in ms: its deadline, and a busy machine. */
const GIVE_UP_MS = DEADLINE_MS + 1000;
const MAX_GROUP = 3;
/** Time after which a refused caller comes back, and one whose connection ended or did not open, in ms. */
const COMEBACK_MS = 100;
/** Times that answers take, in ms; most are short. */
const ANSWER_MS: readonly number[] = [60, 60, 60, 60, 60, 300, 900, 1500, 1900];
const HEAD_END = '\r\n\r\n';

/** Interval of the stops, the ranges of what follows each, and the time that a box takes to be back, in ms. */
const STOP_INTERVAL_MS = 1300;
const MAX_AGAIN_AFTER_MS = 4000;
const MAX_BACK_AFTER_MS = 1000;
const ROUND_END_MS = 9000;

/** Returns the time that a server takes for a plain request: always the same one for a request id. */
export function slowAnswerMs(requestId: string): number {
  let sum = 0;
  for (const letter of requestId) sum = (sum * 31 + (letter.codePointAt(0) ?? 0)) % 65_521;
  return ANSWER_MS[sum % ANSWER_MS.length] ?? 0;
}

/** Plans stops of all boxes one after another, most with a second signal; the same seed always gives the same stops. */
export function planStopsInTurn(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
}): PlannedFault[] {
  const { seed, lengthMs, boxes } = params;
  const random = createPlanRandom(seed);
  const planned: PlannedFault[] = [];
  const roundMs = boxes * STOP_INTERVAL_MS + ROUND_END_MS;
  for (let startMs = random.whole(500, 1500); startMs + roundMs <= lengthMs; startMs += roundMs) {
    const first = random.whole(0, boxes - 1);
    for (let index = 0; index < boxes; index += 1) {
      const againAfterMs = random.chance(0.7) ? random.whole(0, MAX_AGAIN_AFTER_MS) : undefined;
      const backAfterMs = random.whole(0, MAX_BACK_AFTER_MS);
      const fault = { kind: 'stopBox' as const, box: (first + index) % boxes, backAfterMs };
      const atMs = startMs + index * STOP_INTERVAL_MS;
      planned.push({
        atMs,
        fault: againAfterMs === undefined ? fault : { ...fault, againAfterMs },
      });
    }
  }
  return planned;
}

/** Calls until the end of the load. */
export async function callInGroups(context: LoadContext, load: StopLoad): Promise<void> {
  const { seed } = context.options;
  const callers = Array.from({ length: load.callers }, (_, index) => {
    const random = createRandom(seed * load.callers + index + 5);
    return callByOne(context, { random, name: `g${seed}-${index}`, perSecond: load.perSecond });
  });
  await Promise.all(callers);
}

async function callByOne(
  context: LoadContext,
  { random, name, perSecond }: { random: Random; name: string; perSecond: number },
): Promise<void> {
  const { world, record, endMs } = context;
  const comebacks: Promise<void>[] = [];
  let number = 0;
  while (performance.now() < endMs) {
    const box = random.whole(0, world.boxes.length - 1);
    const target = world.boxes[box]?.target;
    const connection = target === undefined ? undefined : await openConnection(target);
    if (connection === undefined) {
      await delay(COMEBACK_MS);
      continue;
    }
    while (performance.now() < endMs && !connection.hasEnded()) {
      const group = Array.from({ length: random.whole(1, MAX_GROUP) }, (): Sent => {
        number += 1;
        const kind = random.chance(0.5) ? CallKind.notice : CallKind.lookup;
        return { requestId: `${name}-${number}`, kind, box, key: world.keys.at(-1) ?? '' };
      });
      const calls = await connection.call(group);
      record.calls.push(...calls);
      const refused = calls.filter(({ status }) => status === 503);
      comebacks.push(...refused.map((call) => comeBack(context, call)));
      await delay(random.exponential(1000 / perSecond));
    }
    connection.close();
  }
  await Promise.all(comebacks);
}

/** Sends a refused request to a box that is not affected by any fault, if there is one. */
async function comeBack({ world, record, callers }: LoadContext, call: Call): Promise<void> {
  await delay(COMEBACK_MS);
  const nowMs = performance.now();
  const sound = [...world.boxes.keys()].filter(
    (box) => !overlaps(record.troubles.get(box) ?? [], nowMs - GIVE_UP_MS, nowMs),
  );
  const box = sound[call.requestId.length % Math.max(1, sound.length)];
  const target = box === undefined ? undefined : world.boxes[box]?.target;
  if (box === undefined || target === undefined) return;
  const { kind, key } = call;
  const requestId = `${call.requestId}-again`;
  const path = `/${kind}/${requestId}`;
  const again = await callers.call({ requestId, kind, box, key, path }, target);
  record.calls.push({ ...again, isComeback: true });
}

type Sent = Pick<Call, 'requestId' | 'kind' | 'box' | 'key'>;

/** Open connection of a caller. */
interface Connection {
  /** Sends requests at once, and resolves once each is answered, or the connection has ended. */
  call: (group: readonly Sent[]) => Promise<Call[]>;
  hasEnded: () => boolean;
  close: () => void;
}

/** Opens a connection; undefined if the box does not accept it. */
async function openConnection({ host, port }: CallTarget): Promise<Connection | undefined> {
  const socket = connect(port, host);
  let received = '';
  let ended = false;
  let onChange = (): void => undefined;
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
    onChange();
  });
  socket.on('close', () => {
    ended = true;
    onChange();
  });
  // What was not received shows a reset.
  socket.on('error', () => undefined);
  if (!(await isOpened(socket))) return undefined;
  return {
    async call(group) {
      const sentAtMs = performance.now();
      received = '';
      socket.write(group.map(textOf).join(''));
      const timer = setTimeout(() => socket.destroy(), GIVE_UP_MS);
      const answers: Answer[] = [];
      const endsAtMs: number[] = [];
      while (answers.length < group.length) {
        const isLast = ended;
        const answer = takeAnswer();
        if (answer !== undefined) {
          answers.push(answer);
          endsAtMs.push(performance.now());
          continue;
        }
        if (isLast) break;
        await new Promise<void>((resolve) => (onChange = resolve));
      }
      clearTimeout(timer);
      return group.map((sent, index) => {
        const { status, body = '' } = answers[index] ?? {};
        const outcome = { status, body, isWhole: status !== undefined, version: undefined };
        return { ...sent, sentAtMs, endedAtMs: endsAtMs[index] ?? performance.now(), ...outcome };
      });
    },
    hasEnded: () => ended || socket.readableEnded,
    close: () => socket.destroy(),
  };

  /** Takes a whole answer from what was received. */
  function takeAnswer(): Answer | undefined {
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const head = received.slice(0, headEnd);
    const from = headEnd + HEAD_END.length;
    const end = from + Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    if (received.length < end) return undefined;
    const status = Number(head.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length));
    const body = received.slice(from, end);
    received = received.slice(end);
    return { status, body };
  }
}

interface Answer {
  status: number;
  body: string;
}

function isOpened(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.once('connect', () => resolve(true));
    socket.once('close', () => resolve(false));
  });
}

function textOf({ requestId, kind, key }: Sent): string {
  const [method, body] = kind === CallKind.notice ? ['POST', 'a body'] : ['GET', ''];
  return (
    `${method} /${kind}/${requestId} HTTP/1.1\r\nHost: ${SERVICE_HOST}\r\n` +
    `Authorization: Bearer ${key}\r\nX-Reedlug-Request-Id: ${requestId}\r\n` +
    `X-Reedlug-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: ${body.length}${HEAD_END}${body}`
  );
}
