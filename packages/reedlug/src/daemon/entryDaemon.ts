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
import { carryOut } from './effects.js';
import { decodePayload, type Exchange, type Payload } from './exchange.js';
import type { EntryDaemonOptions, Runtime } from './runtime.js';

export type { CutSwitches, EntryDaemonOptions } from './runtime.js';

/** Time between two ticks, in ms. */
const TICK_MS = 20;

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
  ask: (ask: OperatorRequest) => Promise<OperatorAnswer>;
  emit: (event: EventBody) => void;
  ready: () => boolean;
  rejectedPeers: () => number;
  /** Ends at once, as when the box dies. */
  kill: () => Promise<void>;
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
