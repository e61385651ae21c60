/**
 * The entry daemon: sockets and timers become events, effects become I/O.
 *
 * It decides nothing. One loop on one thread: events that come while effects
 * are being carried out wait in a queue.
 */
import {
  BrokenInvariantError,
  createBoxState,
  createInvariantMemory,
  isReady,
  reduceChecked,
  ServerKind,
  type BoxEvent,
  type BoxState,
  type DecisionSettings,
  type Effect,
  type EventBody,
  type OperatorAnswer,
  type OperatorAsk,
  type PeerMessage,
  type RequestSpec,
} from 'reedlug-decisions';
import { createServerPools, type ServerPools } from '../backends/serverPools.js';
import {
  exportKv,
  moveCache,
  openEngineStream,
  probeEngine,
  sendOrder,
  type EngineStream,
} from '../backends/engineClient.js';
import { callService, probeService, type ServiceAnswer } from '../backends/serviceClient.js';
import { createHistograms, Measure, type Histograms } from '../observe/histograms.js';
import type { Logger } from '../observe/logger.js';
import { createMetrics, type Metrics } from '../observe/metrics.js';
import { startPeerLink, type PeerLink, type PeerTls } from '../peers/peerLink.js';
import { createPlatformClients, type PlatformClients } from '../platform/platformClients.js';
import { toDecisionSettings } from '../settings/decisionSettings.js';
import type { BoxSettings, Settings } from '../settings/settingsTypes.js';
import { createAnswerStore, receiveAnswer, relayAnswer, type AnswerStore } from './answerStore.js';
import {
  decodePayload,
  encodePayload,
  type Exchange,
  type FinishEffect,
  type Payload,
} from './exchange.js';

/** Time between two ticks, in ms. */
const TICK_MS = 20;

/** Switches for tests of cuts; all closed in production. */
export interface CutSwitches {
  /** Nothing passes between this box and the platform. */
  platform: () => boolean;
  /** Nothing passes between this box and a zone. */
  zone: (zone: string) => boolean;
}

/** What a daemon needs. */
export interface EntryDaemonOptions {
  settings: Settings;
  box: BoxSettings;
  incarnation: number;
  peerSecret: string;
  peerTls: PeerTls | undefined;
  logger: Logger;
  cuts: CutSwitches;
  /** Takes each event, for a trace. */
  onEvent: ((event: BoxEvent) => void) | undefined;
  /** Takes what the state was made from, for the head of a trace. */
  onStarted?: (head: {
    kind: 'head';
    seed: number;
    startedAtMs: number;
    settings: DecisionSettings;
  }) => void;
  /** A planned stop has ended, or an invariant is broken. */
  onStopped: (error: Error | undefined) => void;
}

/** A running daemon. */
export interface EntryDaemon {
  state: BoxState;
  histograms: Histograms;
  settings: Settings;
  /** Gives a caller's request to the decisions. */
  begin: (spec: RequestSpec, payload: Payload, exchange: Exchange) => void;
  /** Follows a request from an offset. */
  follow: (
    params: { followId: string; requestId: string; workspaceId: string; fromOffset: number },
    exchange: Exchange,
  ) => void;
  callerGone: (requestId: string) => void;
  ask: (ask: OperatorAsk) => Promise<OperatorAnswer>;
  emit: (event: EventBody) => void;
  ready: () => boolean;
  rejectedPeers: () => number;
  /** Ends at once, as when the box dies. */
  kill: () => Promise<void>;
}

/** Everything that the effects work on. */
interface Runtime {
  options: EntryDaemonOptions;
  state: BoxState;
  emit: (event: EventBody) => void;
  pools: ServerPools;
  platform: PlatformClients;
  peerLink: PeerLink | undefined;
  exchanges: Map<string, Exchange>;
  payloads: Map<string, Payload>;
  streams: Map<string, EngineStream>;
  calls: Map<string, AbortController>;
  answers: AnswerStore;
  operatorWaits: Map<string, (answer: OperatorAnswer) => void>;
  histograms: Histograms;
  metrics: Metrics;
  lastTokenAtMs: Map<string, number>;
}

/** Starts a daemon; resolves once the peer link listens. */
export async function startEntryDaemon(options: EntryDaemonOptions): Promise<EntryDaemon> {
  const { settings, box, logger } = options;
  const decisionSettings = toDecisionSettings(settings, box, options.incarnation);
  const seed = options.incarnation % 0x7fff_ffff;
  const startedAtMs = performance.now();
  const state = createBoxState({ settings: decisionSettings, seed, nowMs: startedAtMs });
  options.onStarted?.({ kind: 'head', seed, startedAtMs, settings: decisionSettings });
  const memory = createInvariantMemory();
  const waiting: BoxEvent[] = [];
  let draining = false;
  let dead = false;
  let rejected = 0;

  const emit = (body: EventBody): void => {
    if (dead) return;
    waiting.push({ ...body, nowMs: performance.now() });
    if (draining) return;
    draining = true;
    for (let event = waiting.shift(); event !== undefined; event = waiting.shift()) {
      options.onEvent?.(event);
      for (const effect of reduceChecked(memory, state, event)) carryOut(runtime, effect);
    }
    draining = false;
  };
  const guardedEmit = (body: EventBody): void => {
    try {
      emit(body);
    } catch (error) {
      if (!(error instanceof BrokenInvariantError)) throw error;
      dead = true;
      logger('invariantBroken', { message: error.message, eventType: error.eventType });
      options.onStopped(error);
    }
  };
  const runtime: Runtime = {
    options,
    state,
    emit: guardedEmit,
    pools: createServerPools(),
    platform: createPlatformClients(settings.platform, options.cuts.platform),
    peerLink: undefined,
    exchanges: new Map(),
    payloads: new Map(),
    streams: new Map(),
    calls: new Map(),
    answers: createAnswerStore(),
    operatorWaits: new Map(),
    histograms: createHistograms(),
    metrics: createMetrics(settings.metrics, (message) => logger('metricsFailed', { message })),
    lastTokenAtMs: new Map(),
  };
  runtime.peerLink = await openPeerLink(runtime, (reason) => {
    rejected += 1;
    logger('peerRejected', { reason });
  });
  const timers = startTimers(runtime);
  guardedEmit({ type: 'tick', epochMs: Date.now() });
  return {
    state,
    histograms: runtime.histograms,
    settings,
    begin(spec, payload, exchange) {
      runtime.exchanges.set(spec.requestId, exchange);
      runtime.payloads.set(spec.requestId, payload);
      guardedEmit({ type: 'requestArrived', spec });
    },
    follow(params, exchange) {
      runtime.exchanges.set(params.followId, exchange);
      guardedEmit({ type: 'followAsked', ...params });
    },
    callerGone: (requestId) => {
      runtime.exchanges.delete(requestId);
      guardedEmit({ type: 'callerGone', requestId });
    },
    ask: (ask) =>
      new Promise((resolve) => {
        const askId = `ask-${box.id}-${runtime.operatorWaits.size}-${performance.now()}`;
        runtime.operatorWaits.set(askId, resolve);
        guardedEmit({ type: 'operatorAsked', askId, ask, epochMs: Date.now() });
      }),
    emit: guardedEmit,
    ready: () => !dead && isReady(state),
    rejectedPeers: () => rejected,
    kill: async () => {
      dead = true;
      for (const timer of timers) clearInterval(timer);
      for (const stream of runtime.streams.values()) stream.abort();
      for (const call of runtime.calls.values()) call.abort();
      runtime.metrics.close();
      await runtime.peerLink?.close();
      await Promise.all([runtime.pools.close(), runtime.platform.close()]);
    },
  };
}

function openPeerLink(runtime: Runtime, onRejected: (reason: string) => void): Promise<PeerLink> {
  const { settings, box, peerSecret, peerTls, cuts } = runtime.options;
  const zoneOf = new Map(settings.boxes.map(({ id, zone }) => [id, zone]));
  return startPeerLink({
    boxId: box.id,
    listen: box.peers,
    peers: settings.boxes
      .filter(({ id }) => id !== box.id)
      .map(({ id, peers }) => ({ id, address: peers })),
    secret: peerSecret,
    tls: peerTls,
    onMessage: (from, message) => takePeerMessage(runtime, from, message),
    onRejected,
    isCut: (boxId) => cuts.zone(zoneOf.get(boxId) ?? ''),
  });
}

/** Takes out what belongs to the daemon before the decisions see a message. */
function takePeerMessage(runtime: Runtime, from: string, message: PeerMessage): void {
  if (message.kind === 'handover' && message.payload !== undefined) {
    const payload = decodePayload(message.payload);
    if (payload === undefined) return;
    runtime.payloads.set(message.spec.requestId, payload);
    runtime.emit({ type: 'peerMessage', from, message: { ...message, payload: undefined } });
    return;
  }
  runtime.emit({ type: 'peerMessage', from, message });
}

function startTimers(runtime: Runtime): NodeJS.Timeout[] {
  const { platform } = runtime.options.settings;
  let noticeSequence = 0;
  const tick = setInterval(() => runtime.emit({ type: 'tick', epochMs: Date.now() }), TICK_MS);
  const list = setInterval(() => void readBoxList(runtime), platform.boxListEveryMs);
  const notices = setInterval(() => {
    void readNotices(runtime, noticeSequence).then((last) => {
      noticeSequence = Math.max(noticeSequence, last);
    });
  }, platform.noticesEveryMs);
  void runtime.platform
    .readSnapshot()
    .then((snapshot) => runtime.emit({ type: 'snapshotRead', snapshot }));
  return [tick, list, notices];
}

async function readBoxList(runtime: Runtime): Promise<void> {
  const entries = await runtime.platform.boxList();
  if (entries !== undefined) runtime.emit({ type: 'boxListRead', entries });
}

async function readNotices(runtime: Runtime, after: number): Promise<number> {
  let last = after;
  for (const notice of await runtime.platform.notices(after)) {
    last = Math.max(last, notice.sequence);
    const leavesAtMs = performance.now() + notice.leavesInMs;
    const { boxId, incarnation } = notice;
    if (boxId === runtime.options.box.id) runtime.emit({ type: 'boxReclaimNoticed', leavesAtMs });
    else runtime.emit({ type: 'reclaimNoticed', serverId: boxId, incarnation, leavesAtMs });
  }
  return last;
}

/** Carries out one effect. */
function carryOut(runtime: Runtime, effect: Effect): void {
  switch (effect.type) {
    case 'sendAttempt':
      return sendAttempt(runtime, effect);
    case 'cancelAttempt':
      return cancelAttempt(runtime, effect.attemptId);
    case 'exportKv':
      return withServer(runtime, effect.serverId, (spec) =>
        exportKv(runtime.pools, spec, effect.attemptId, runtime.emit),
      );
    case 'moveCache':
      return moveOne(runtime, effect);
    case 'deliverTokens':
      return deliver(runtime, effect);
    case 'finishRequest':
      return finish(runtime, effect);
    case 'requestTable':
      void runtime.platform
        .table(effect.op)
        .then((answer) => runtime.emit({ type: 'tableAnswered', opId: effect.opId, answer }));
      return undefined;
    case 'writeSnapshot':
      void runtime.platform.writeSnapshot(effect.snapshot);
      return undefined;
    case 'readSnapshot':
      void runtime.platform
        .readSnapshot()
        .then((snapshot) => runtime.emit({ type: 'snapshotRead', snapshot }));
      return undefined;
    case 'sendPeer':
      runtime.peerLink?.send(effect.boxId, withDaemonParts(runtime, effect.message));
      return undefined;
    case 'probeServer':
      return probe(runtime, effect.serverId);
    case 'sendOrder':
      return order(runtime, effect);
    case 'askCloud':
      void runtime.platform
        .cloud(effect.ask)
        .then((answer) => runtime.emit({ type: 'cloudAnswered', askId: effect.askId, answer }));
      return undefined;
    case 'answerOperator':
      runtime.operatorWaits.get(effect.askId)?.(effect.answer);
      runtime.operatorWaits.delete(effect.askId);
      return undefined;
    case 'forgetRequest':
      runtime.payloads.delete(effect.requestId);
      runtime.answers.forget(effect.requestId);
      return undefined;
    case 'stopped':
      runtime.options.onStopped(undefined);
      return undefined;
    case 'log':
      runtime.options.logger(effect.event, effect.fields);
      return undefined;
  }
}

type Spec = BoxState['settings']['servers'][number];

function withServer(runtime: Runtime, serverId: string, run: (spec: Spec) => Promise<void>): void {
  const spec = runtime.state.servers.get(serverId)?.spec;
  if (spec !== undefined) void run(spec);
}

function isCut(runtime: Runtime, spec: Spec): boolean {
  return runtime.options.cuts.zone(spec.zone);
}

function sendAttempt(runtime: Runtime, effect: Extract<Effect, { type: 'sendAttempt' }>): void {
  const { attemptId, requestId, serverId } = effect;
  const record = runtime.state.requests.get(requestId);
  const spec = runtime.state.servers.get(serverId)?.spec;
  const payload = runtime.payloads.get(requestId);
  if (record === undefined || spec === undefined || payload === undefined) {
    runtime.emit({ type: 'attemptLost', attemptId, reached: false });
    return;
  }
  if (isCut(runtime, spec)) {
    runtime.emit({ type: 'attemptRefused', attemptId, reason: 'notConnected' });
    return;
  }
  switch (payload.kind) {
    case 'prompt':
      return openStream(runtime, effect, spec, record, payload.prompt);
    case 'call':
      return openCall(runtime, effect, spec, payload);
  }
}

function openStream(
  runtime: Runtime,
  effect: Extract<Effect, { type: 'sendAttempt' }>,
  spec: Spec,
  record: { spec: RequestSpec; ledger: { tokens: readonly string[] } },
  prompt: string,
): void {
  const { attemptId, kvTicket } = effect;
  const source = kvTicket === undefined ? undefined : addressOf(runtime, kvTicket.sourceServerId);
  const stream = openEngineStream({
    pools: runtime.pools,
    spec,
    body: {
      request_id: attemptId,
      model: record.spec.pool,
      version: record.spec.version,
      prompt,
      stream: true,
      max_tokens: record.spec.maxTokens,
      priority: record.spec.requestClass === 'urgent' ? 0 : 1,
      resume_tokens: record.ledger.tokens.slice(0, effect.resumeOffset),
      cache_key: record.spec.affinityHash,
      prompt_tokens: record.spec.promptTokens,
      kv_ticket:
        kvTicket === undefined || source === undefined
          ? undefined
          : { ticket_id: kvTicket.ticketId, source },
    },
    emit: runtime.emit,
    onClosed: () => runtime.streams.delete(attemptId),
  });
  runtime.streams.set(attemptId, stream);
}

function addressOf(runtime: Runtime, serverId: string): string | undefined {
  return runtime.state.servers.get(serverId)?.spec.address;
}

function openCall(
  runtime: Runtime,
  effect: Extract<Effect, { type: 'sendAttempt' }>,
  spec: Spec,
  call: Extract<Payload, { kind: 'call' }>,
): void {
  const { attemptId, timeoutMs } = effect;
  const controller = new AbortController();
  runtime.calls.set(attemptId, controller);
  callService({
    pools: runtime.pools,
    spec,
    attemptId,
    call,
    timeoutMs,
    signal: controller.signal,
    onAnswer: (answer) => runtime.answers.putAttempt(attemptId, answer),
    emit: (event) => {
      if (!runtime.calls.delete(attemptId)) return;
      runtime.emit(event);
    },
  });
}

function cancelAttempt(runtime: Runtime, attemptId: string): void {
  const stream = runtime.streams.get(attemptId);
  runtime.streams.delete(attemptId);
  stream?.abort();
  const call = runtime.calls.get(attemptId);
  runtime.calls.delete(attemptId);
  call?.abort();
}

function moveOne(runtime: Runtime, effect: Extract<Effect, { type: 'moveCache' }>): void {
  const source = runtime.state.servers.get(effect.serverId)?.spec;
  const target = runtime.state.servers.get(effect.targetServerId)?.spec;
  if (source === undefined || target === undefined) return;
  const { affinityHash, tokens } = effect;
  void moveCache(runtime.pools, { source, target, affinityHash, tokens }, runtime.emit);
}

function deliver(runtime: Runtime, effect: Extract<Effect, { type: 'deliverTokens' }>): void {
  const { requestId, offset, tokens } = effect;
  noteBetweenTokens(runtime, requestId, tokens.length);
  runtime.exchanges.get(requestId)?.onTokens(offset, tokens);
}

function noteBetweenTokens(runtime: Runtime, requestId: string, count: number): void {
  const nowMs = performance.now();
  const lastMs = runtime.lastTokenAtMs.get(requestId);
  runtime.lastTokenAtMs.set(requestId, nowMs);
  const record = runtime.state.requests.get(requestId);
  if (lastMs === undefined || record === undefined) return;
  const { workspaceId, requestClass } = record.spec;
  const key = { workspaceId, requestClass, measure: Measure.betweenTokens };
  runtime.histograms.record(key, (nowMs - lastMs) / count);
}

function finish(runtime: Runtime, effect: FinishEffect): void {
  const { requestId } = effect;
  const answer = answerFor(runtime, effect);
  noteFinish(runtime, effect);
  runtime.lastTokenAtMs.delete(requestId);
  if (answer !== undefined && runtime.state.requests.get(requestId)?.claimHeld === true) {
    runtime.answers.keep(requestId, answer);
  }
  runtime.payloads.delete(requestId);
  const exchange = runtime.exchanges.get(requestId);
  runtime.exchanges.delete(requestId);
  exchange?.onFinish(effect, answer);
}

/** The answer of a plain service: of the winning attempt, relayed by a peer, or kept here. */
function answerFor(runtime: Runtime, effect: FinishEffect): ServiceAnswer | undefined {
  if (effect.attemptId !== undefined) return runtime.answers.takeAttempt(effect.attemptId);
  if (effect.answer !== undefined) return receiveAnswer(effect.answer, effect.status ?? 200);
  if (effect.sourceRequestId !== undefined) return runtime.answers.kept(effect.sourceRequestId);
  return undefined;
}

function noteFinish(runtime: Runtime, effect: FinishEffect): void {
  const spec = runtime.state.requests.get(effect.requestId)?.spec;
  if (spec === undefined) {
    runtime.metrics.count('refused', { reason: effect.reason });
    return;
  }
  const { workspaceId, requestClass } = spec;
  const { waitedMs, firstTokenMs, wholeMs } = effect.times;
  const record = (measure: Measure, valueMs: number | undefined): void => {
    if (valueMs === undefined) return;
    runtime.histograms.record({ workspaceId, requestClass, measure }, valueMs);
    runtime.metrics.time(measure, valueMs, { workspace: workspaceId, class: requestClass });
  };
  record(Measure.waiting, waitedMs);
  record(Measure.firstToken, firstTokenMs);
  record(Measure.whole, wholeMs);
  const { outcome, reason } = effect;
  runtime.metrics.count('finished', {
    workspace: workspaceId,
    class: requestClass,
    outcome,
    reason,
  });
}

/** Puts in what only the daemon holds: payloads of handed requests, answers of services. */
function withDaemonParts(runtime: Runtime, message: PeerMessage): PeerMessage {
  if (message.kind === 'handover') {
    const payload = runtime.payloads.get(message.spec.requestId);
    return payload === undefined ? message : { ...message, payload: encodePayload(payload) };
  }
  if (message.kind === 'sight') {
    const answer = runtime.answers.kept(message.sight.requestId);
    if (answer === undefined) return message;
    return { ...message, sight: { ...message.sight, answer: relayAnswer(answer) } };
  }
  return message;
}

function probe(runtime: Runtime, serverId: string): void {
  const spec = runtime.state.servers.get(serverId)?.spec;
  if (spec === undefined) return;
  if (isCut(runtime, spec)) {
    runtime.emit({ type: 'serverReported', serverId, report: undefined });
    return;
  }
  if (spec.kind === ServerKind.engine) void probeEngine(runtime.pools, spec, runtime.emit);
  else void probeService(runtime.pools, spec, runtime.emit);
}

function order(runtime: Runtime, effect: Extract<Effect, { type: 'sendOrder' }>): void {
  const { orderId, wanted, fence, validForMs } = effect;
  withServer(runtime, effect.serverId, async (spec) => {
    const answer = await sendOrder(runtime.pools, spec, {
      order_id: orderId,
      fence,
      valid_for_ms: validForMs,
      ...wanted,
    });
    runtime.emit({ type: 'orderAnswered', orderId, answer });
  });
}
