/**
 * The entry daemon turns input from sockets and timers into events, and effects into I/O.
 *
 * All decisions are made by the reducer. A single loop on one thread dispatches events;
 * events that arrive while effects are running are queued.
 */
import {
  BrokenInvariantError,
  createBoxState,
  createInvariantMemory,
  isReady,
  reduceChecked,
  type BoxEvent,
  type BoxState,
  type EventBody,
  type OperatorAnswer,
  type OperatorRequest,
  type PeerMessage,
  type RequestSpec,
} from 'reedlug-decisions';
import { createServerPools } from '../backends/serverPools.js';
import { createHistograms, type Histograms } from '../observe/histograms.js';
import { createMetrics } from '../observe/metrics.js';
import { startPeerLink, type PeerLink } from '../peers/peerLink.js';
import { createPlatformClients } from '../platform/platformClients.js';
import { toDecisionSettings } from '../settings/decisionSettings.js';
import type { Settings } from '../settings/settingsTypes.js';
import { createAnswerStore } from './answerStore.js';
import { runEffect } from './effects.js';
import { decodePayload, type Exchange, type Payload } from './exchange.js';
import type { EntryDaemonOptions, Runtime } from './runtime.js';

export type { PartitionSwitches, EntryDaemonOptions } from './runtime.js';

/** Time between two ticks, in ms. */
const TICK_MS = 20;

/** A running daemon. */
export interface EntryDaemon {
  state: BoxState;
  histograms: Histograms;
  settings: Settings;
  /** Passes a caller's request to the reducer. */
  submitRequest: (spec: RequestSpec, payload: Payload, exchange: Exchange) => void;
  /** Sends the answer of an earlier request to `exchange`, starting at a token offset. */
  followRequest: (
    params: { followId: string; requestId: string; workspaceId: string; fromOffset: number },
    exchange: Exchange,
  ) => void;
  callerGone: (requestId: string) => void;
  ask: (ask: OperatorRequest) => Promise<OperatorAnswer>;
  emit: (event: EventBody) => void;
  ready: () => boolean;
  rejectedPeers: () => number;
  /** Stops immediately without draining, as if the box had crashed. */
  kill: () => Promise<void>;
}

/** Starts a daemon. Resolves once the peer link is listening. */
export async function startEntryDaemon(options: EntryDaemonOptions): Promise<EntryDaemon> {
  const { settings, box, logger } = options;
  const decisionSettings = toDecisionSettings(settings, box, options.incarnation);
  const seed = options.incarnation % 0x7fff_ffff;
  const startedAtMs = performance.now();
  const state = createBoxState({ settings: decisionSettings, seed, nowMs: startedAtMs });
  options.onStarted?.({ kind: 'head', seed, startedAtMs, settings: decisionSettings });
  const memory = createInvariantMemory();
  const eventQueue: BoxEvent[] = [];
  let isDispatching = false;
  let isStopped = false;
  let rejectedPeerCount = 0;

  const emit = (body: EventBody): void => {
    if (isStopped) return;
    eventQueue.push({ ...body, nowMs: performance.now() });
    if (isDispatching) return;
    isDispatching = true;
    for (let event = eventQueue.shift(); event !== undefined; event = eventQueue.shift()) {
      options.onEvent?.(event);
      for (const effect of reduceChecked(memory, state, event)) runEffect(runtime, effect);
    }
    isDispatching = false;
  };
  const guardedEmit = (body: EventBody): void => {
    try {
      emit(body);
    } catch (error) {
      if (!(error instanceof BrokenInvariantError)) throw error;
      isStopped = true;
      logger('invariantBroken', { message: error.message, eventType: error.eventType });
      options.onStopped(error);
    }
  };
  const runtime: Runtime = {
    options,
    state,
    emit: guardedEmit,
    pools: createServerPools(),
    platform: createPlatformClients(settings.platform, options.partitions.platform),
    peerLink: undefined,
    exchanges: new Map(),
    payloads: new Map(),
    streams: new Map(),
    calls: new Map(),
    answers: createAnswerStore(),
    pendingOperatorRequests: new Map(),
    histograms: createHistograms(),
    metrics: createMetrics(settings.metrics, (message) => logger('metricsFailed', { message })),
    lastTokenAtMs: new Map(),
  };
  runtime.peerLink = await openPeerLink(runtime, (reason) => {
    rejectedPeerCount += 1;
    logger('peerRejected', { reason });
  });
  const timers = startTimers(runtime);
  guardedEmit({ type: 'tick', epochMs: Date.now() });
  return {
    state,
    histograms: runtime.histograms,
    settings,
    submitRequest(spec, payload, exchange) {
      runtime.exchanges.set(spec.requestId, exchange);
      runtime.payloads.set(spec.requestId, payload);
      guardedEmit({ type: 'requestArrived', spec });
    },
    followRequest(params, exchange) {
      runtime.exchanges.set(params.followId, exchange);
      guardedEmit({ type: 'followAsked', ...params });
    },
    callerGone: (requestId) => {
      runtime.exchanges.delete(requestId);
      guardedEmit({ type: 'callerGone', requestId });
    },
    ask: (ask) =>
      new Promise((resolve) => {
        const askId = `ask-${box.id}-${runtime.pendingOperatorRequests.size}-${performance.now()}`;
        runtime.pendingOperatorRequests.set(askId, resolve);
        guardedEmit({ type: 'operatorAsked', askId, ask, epochMs: Date.now() });
      }),
    emit: guardedEmit,
    ready: () => !isStopped && isReady(state),
    rejectedPeers: () => rejectedPeerCount,
    kill: async () => {
      isStopped = true;
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
  const { settings, box, peerSecret, peerTls, partitions } = runtime.options;
  const zoneByBoxId = new Map(settings.boxes.map(({ id, zone }) => [id, zone]));
  return startPeerLink({
    boxId: box.id,
    listen: box.peers,
    peers: settings.boxes
      .filter(({ id }) => id !== box.id)
      .map(({ id, peers }) => ({ id, address: peers })),
    secret: peerSecret,
    tls: peerTls,
    onMessage: (from, message) => receivePeerMessage(runtime, from, message),
    onRejected,
    isPartitioned: (boxId) => partitions.zone(zoneByBoxId.get(boxId) ?? ''),
  });
}

/** Passes a peer's message to the reducer; the payload of a handed-over request stays here. */
function receivePeerMessage(runtime: Runtime, from: string, message: PeerMessage): void {
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
  const tickTimer = setInterval(() => runtime.emit({ type: 'tick', epochMs: Date.now() }), TICK_MS);
  const boxListTimer = setInterval(() => void readBoxList(runtime), platform.boxListEveryMs);
  const noticesTimer = setInterval(() => {
    void readNotices(runtime, noticeSequence).then((last) => {
      noticeSequence = Math.max(noticeSequence, last);
    });
  }, platform.noticesEveryMs);
  void runtime.platform
    .readSnapshot()
    .then((snapshot) => runtime.emit({ type: 'snapshotRead', snapshot }));
  return [tickTimer, boxListTimer, noticesTimer];
}

async function readBoxList(runtime: Runtime): Promise<void> {
  const entries = await runtime.platform.boxList();
  if (entries !== undefined) runtime.emit({ type: 'boxListRead', entries });
}

async function readNotices(runtime: Runtime, afterSequence: number): Promise<number> {
  let lastSequence = afterSequence;
  for (const notice of await runtime.platform.notices(afterSequence)) {
    lastSequence = Math.max(lastSequence, notice.sequence);
    const leavesAtMs = performance.now() + notice.leavesInMs;
    const { boxId, incarnation } = notice;
    if (boxId === runtime.options.box.id) runtime.emit({ type: 'boxReclaimNoticed', leavesAtMs });
    else runtime.emit({ type: 'reclaimNoticed', serverId: boxId, incarnation, leavesAtMs });
  }
  return lastSequence;
}
