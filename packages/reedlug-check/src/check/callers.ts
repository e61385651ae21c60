/** Simulates the callers of a checked run and checks the guarantees on the answers they receive. */
import { hashString, Outcome } from 'reedlug-coordination';
import type { Effect, RequestSpec } from 'reedlug-decisions';
import { answerToken } from 'reedlug-standins';
import { emit } from '../world/emit.js';
import type { World, WorldBox } from '../world/worldTypes.js';
import { CallKind, CHECK_BOX_IDS, elementAtFraction, type PlannedCall } from './checkPlan.js';
import { CHECK_MODEL, CHECK_SERVICE } from './checkSettings.js';

type Finish = Extract<Effect, { type: 'finishRequest' }>;

/** A request and what its caller has received so far. */
export interface Call {
  planned: PlannedCall;
  boxId: string;
  /** Process that received the request. A restarted box is a different object. */
  box: WorldBox;
  tokens: string[];
  finish: Finish | undefined;
  /** Call that this one continues after a reconnect. */
  resumedFrom: Call | undefined;
  gone: boolean;
}

/** A violated guarantee, as observed by callers or servers. */
export interface WorldViolation {
  name: string;
  detail: string;
}

/** State of all callers of a run. */
export interface Callers {
  calls: Map<string, Call>;
  violations: WorldViolation[];
  /** Number of runs at plain services, by idempotency key. */
  runsByKey: Map<string, number>;
  /** Ids of the requests that at least one server has run. */
  ran: Set<string>;
}

const DEADLINE_MS = { urgent: 20_000, patient: 40_000 } as const;
const RECONNECT_MS = 50;

/** Schedules the planned calls in a world and observes their answers. */
export function createCallers(world: World, planned: readonly PlannedCall[]): Callers {
  const callers: Callers = {
    calls: new Map(),
    violations: [],
    runsByKey: new Map(),
    ran: new Set(),
  };
  const keys = new Map(planned.map((call) => [call.requestId, call.key]));
  // A box that took over a request from another box has no connection to its caller.
  const isConnected = (boxId: string, requestId: string): boolean =>
    callers.calls.get(requestId)?.boxId === boxId;
  world.observer.onTokens = (boxId, requestId, offset, tokens) => {
    if (isConnected(boxId, requestId)) receiveTokens(callers, requestId, offset, tokens);
  };
  world.observer.onFinish = (boxId, finish) => {
    if (isConnected(boxId, finish.requestId)) handleFinish(world, callers, finish);
  };
  world.observer.onRun = (_serverId, requestId) =>
    recordRun(callers, requestId, keys.get(requestId));
  for (const call of planned) world.queue.at(call.atMs, () => submitCall(world, callers, call));
  return callers;
}

function recordRun(callers: Callers, requestId: string, key: string | undefined): void {
  callers.ran.add(requestId);
  const finish = callers.calls.get(requestId)?.finish;
  if (finish?.outcome === Outcome.notRun) {
    callers.violations.push({
      name: 'notRunDidRun',
      detail: `${requestId} ran after it was answered as notRun`,
    });
  }
  if (key === undefined) return;
  const runs = (callers.runsByKey.get(key) ?? 0) + 1;
  callers.runsByKey.set(key, runs);
  if (runs > 1)
    callers.violations.push({ name: 'keyRanTwice', detail: `${key} ran ${runs} times` });
}

function submitCall(world: World, callers: Callers, planned: PlannedCall): void {
  const boxId = elementAtFraction(CHECK_BOX_IDS, planned.box);
  const box = boxId === undefined ? undefined : world.boxes.get(boxId);
  if (boxId === undefined || box?.alive !== true) return;
  const call: Call = {
    planned,
    boxId,
    box,
    tokens: [],
    finish: undefined,
    resumedFrom: undefined,
    gone: false,
  };
  callers.calls.set(planned.requestId, call);
  emit(world, box, { type: 'requestArrived', spec: specOf(world, planned) });
  if (planned.goneAfterMs === undefined) return;
  world.queue.at(world.queue.nowMs() + planned.goneAfterMs, () => {
    if (call.finish !== undefined) return;
    call.gone = true;
    emit(world, box, { type: 'callerGone', requestId: planned.requestId });
  });
}

function specOf(world: World, call: PlannedCall): RequestSpec {
  const isService =
    call.kind === CallKind.lookUp ||
    call.kind === CallKind.notice ||
    call.kind === CallKind.unkeyedChange;
  const isPatient = call.kind === CallKind.draft || call.kind === CallKind.singleDraft;
  const requestClass = isPatient ? 'patient' : 'urgent';
  const nonRepeatableKinds: readonly CallKind[] = [
    CallKind.notice,
    CallKind.unkeyedChange,
    CallKind.singleDraft,
  ];
  return {
    requestId: call.requestId,
    workspaceId: call.workspaceId,
    requestClass,
    kind: isService ? 'service' : 'engine',
    pool: isService ? CHECK_SERVICE : CHECK_MODEL,
    version: '',
    repeatable: !nonRepeatableKinds.includes(call.kind),
    idempotencyKey: call.key,
    digest: call.key ?? '',
    deadlineAtMs: world.queue.nowMs() + DEADLINE_MS[requestClass],
    affinityHash: hashString(`${call.workspaceId}|${call.conversation}`),
    promptTokens: isService ? 0 : call.promptTokens,
    maxTokens: isService ? 0 : call.maxTokens,
  };
}

function receiveTokens(
  callers: Callers,
  requestId: string,
  offset: number,
  tokens: readonly string[],
): void {
  const call = callers.calls.get(requestId);
  if (call === undefined) return;
  const source = originalCall(call).planned.requestId;
  for (const [index, token] of tokens.entries()) {
    const at = offset + index;
    if (at !== call.tokens.length || token !== answerToken(source, at)) {
      const detail = `${requestId} got ${JSON.stringify(token)} at offset ${at} after ${call.tokens.length} tokens`;
      callers.violations.push({ name: 'wrongToken', detail });
      return;
    }
    call.tokens.push(token);
  }
}

function originalCall(call: Call): Call {
  return call.resumedFrom === undefined ? call : originalCall(call.resumedFrom);
}

function handleFinish(world: World, callers: Callers, finish: Finish): void {
  const call = callers.calls.get(finish.requestId);
  if (call === undefined) return;
  if (call.finish !== undefined) {
    callers.violations.push({ name: 'twoOutcomes', detail: finish.requestId });
    return;
  }
  call.finish = finish;
  checkFinish(callers, call, finish);
  if (finish.reason === 'handedOver' && !call.gone) reconnect(world, callers, call);
}

function checkFinish(callers: Callers, call: Call, finish: Finish): void {
  const { requestId } = call.planned;
  if (finish.outcome === Outcome.notRun && callers.ran.has(requestId)) {
    callers.violations.push({
      name: 'notRunDidRun',
      detail: `${requestId} was answered as notRun but had run`,
    });
  }
  if (finish.outcome !== Outcome.completed) return;
  const origin = originalCall(call).planned;
  const isModel = isModelCall(origin);
  if (isModel && call.tokens.length !== origin.maxTokens) {
    const detail = `${requestId} completed with ${call.tokens.length} of ${origin.maxTokens} tokens`;
    callers.violations.push({ name: 'partialShownWhole', detail });
  }
}

function isModelCall(call: PlannedCall): boolean {
  return (
    call.kind === CallKind.draft ||
    call.kind === CallKind.urgentDraft ||
    call.kind === CallKind.singleDraft
  );
}

/** Reconnects to another box and continues from the offset that the caller has received. */
function reconnect(world: World, callers: Callers, call: Call): void {
  world.queue.at(world.queue.nowMs() + RECONNECT_MS, () => {
    const alive = [...world.boxes].filter(
      ([, box]) => box.alive && box.state.draining === undefined,
    );
    const next = alive.find(([id]) => id !== call.boxId);
    if (next === undefined) return;
    const [boxId, box] = next;
    const origin = originalCall(call).planned;
    const followId = `${call.planned.requestId}-follow`;
    const resumedCall: Call = {
      planned: { ...origin, requestId: followId },
      boxId,
      box,
      tokens: [...call.tokens],
      finish: undefined,
      resumedFrom: call,
      gone: false,
    };
    callers.calls.set(followId, resumedCall);
    emit(world, box, {
      type: 'followAsked',
      followId,
      requestId: origin.requestId,
      workspaceId: origin.workspaceId,
      fromOffset: call.tokens.length,
    });
  });
}
