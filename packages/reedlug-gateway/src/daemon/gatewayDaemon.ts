/**
 * Daemon of a gateway box: turns socket and timer callbacks into events for the
 * reducer, and the reducer's effects into I/O, on one thread.
 */
import { createServer, type Server } from 'node:http';
import { bufferShares, defaultBufferedBytes } from '../policy/bufferShares.js';
import { exitAfterMs, finalAnswersAfterMs } from '../policy/stopTimes.js';
import { setTimeout as delay } from 'node:timers/promises';
import type { PlatformAdapter } from '../adapter.js';
import {
  countConnection,
  createGatewayMetrics,
  type GatewayMetrics,
} from '../observe/gatewayMetrics.js';
import type { Logger } from '../observe/logger.js';
import { createPlatformCallCounts } from '../observe/platformCalls.js';
import { reduceStep } from '../reduce.js';
import { configurationHolders, isKnownBox } from '../slices/peers/configurationSources.js';
import { sharedStateOf } from '../slices/peers/sharedState.js';
import { isReady, STOPPING_RETRY_MS } from '../slices/lifecycle/shutdown.js';
import { decideTunnel } from '../slices/peers/tunnels.js';
import { isConnectionUsable } from '../slices/servers/serverLinks.js';
import type { ConnectionTry } from '../types/serverLink.js';
import { isNewEra } from '../slices/store/storeEra.js';
import { createGatewayState } from '../createGatewayState.js';
import { NO_SERVER_RETRY_MS } from '../slices/requests/requestCompletion.js';
import { hasRequest } from '../slices/requests/requests.js';
import type { GatewayState } from '../state.js';
import type { Effect } from '../types/effect.js';
import type { HostPort } from '../types/server.js';
import type { ThreadLoad } from '../types/threadLoad.js';
import type { GatewaySettings } from '../types/settings.js';
import {
  createCallerServer,
  setClosesConnections,
  type CallerExchange,
  type CallerServer,
} from './callerServer.js';
import { createThreadLoadMeter } from './threadLoad.js';
import { createConnectionPool } from './connectionPool.js';
import { PROCESS_CLOCK } from './clock.js';
import { TICK_MS } from './daemonTimes.js';
import { eventOfDatagram } from './datagramEvent.js';
import { performEffect } from './effects.js';
import { createInternalFaults } from './internalFaults.js';
import { createAnswerHolds } from './answerHolds.js';
import { createAnswerBudget, createRequestBudget, observedMemoryBytes } from './bufferBudget.js';
import { createCallerRequests } from './callerRequests.js';
import type { HeldRequests } from './heldRequests.js';
import { createReadProgress } from './readProgress.js';
import { createReadTurns } from './readTurns.js';
import { createRegistryReader } from './registryReader.js';
import type { Runtime } from './runtime.js';
import { createLinkChecker } from './linkChecker.js';
import { createServerDialer } from './serverDialer.js';
import { describeAttempt } from './describeAttempt.js';
import { createTunnelServer } from './tunnels/tunnelServer.js';
import { createSequentialHandler } from './sequentialHandler.js';
import { followPlatform } from './platformFeeds.js';
import { createOperatorServer } from './operatorServer.js';
import { openPeerSocket } from './peerSocket.js';
import { createEncodedConfigurations } from './stateTransfer/encodedConfigurations.js';
import { createStateFetcher } from './stateTransfer/stateFetcher.js';
import { createStateHandler } from './stateTransfer/stateServer.js';

/** A running daemon. */
export interface GatewayDaemon {
  /** Starts a planned shutdown. */
  stop: () => void;
  /** Handles an exception that nothing caught. */
  onUncaught: (error: unknown) => void;
  /** Closes all connections and servers immediately. */
  close: () => Promise<void>;
  state: GatewayState;
}

/** Starts a box and resolves once it is listening. */
export async function startGatewayDaemon(params: {
  settings: GatewaySettings;
  adapter: PlatformAdapter;
  incarnation: number;
  logger: Logger;
  metrics?: GatewayMetrics;
  /** Called when the box has stopped; it is broken if exceptions of its own were the reason. */
  onStopped: (isBroken: boolean) => void;
}): Promise<GatewayDaemon> {
  const { settings, adapter, incarnation, logger, onStopped } = params;
  const clock = PROCESS_CLOCK;
  // The clock starts at zero when the process starts.
  const nowMs = clock.nowMs();
  const state = createGatewayState({ settings, incarnation, nowMs, processAgeMs: nowMs });
  const perform = (effect: Effect): void => performEffect(runtime, effect);
  const emit = createSequentialHandler(
    (body) => {
      const event = { ...body, nowMs: clock.nowMs(), wallClockMs: Date.now() };
      const step = reduceStep(state, event);
      for (const effect of step.effects) faults.perform(effect, perform);
      faults.onEventHandled(body, step.faults);
      if (body.type === 'configurationRead') configurations.record(state.active?.configuration);
    },
    (error, body) => faults.onEventHandled(body, [{ error, exchangeId: undefined }]),
  );
  const exchanges = new Map<number, CallerExchange>();
  const { graceMs } = settings.bounds;
  let isBroken = false;
  /** Time since the start of a stop, in ms; 0 without one. */
  const stoppingForMs = (): number => {
    const nowMs = clock.nowMs();
    return nowMs - (state.stoppingSinceMs ?? nowMs);
  };
  const stopBroken = (): void => {
    isBroken = true;
    emit({ type: 'stopAsked' });
    // What fails may be what would end the shutdown, which may be a planned one that has begun before.
    const leftMs = Math.max(0, finalAnswersAfterMs(graceMs) - stoppingForMs());
    setTimeout(() => void finish(), leftMs).unref();
  };
  let isFinishing = false;
  /** Ends the callers' connections once all answers have left, or at the end of the grace period. */
  const finish = async (): Promise<void> => {
    if (isFinishing) return;
    isFinishing = true;
    requests.refuseAll();
    faults.answerAll();
    const leftMs = Math.max(0, exitAfterMs(graceMs) - stoppingForMs());
    await Promise.race([callers.end(), delay(leftMs)]);
    const openExchanges = callers.openExchanges();
    logger('callersClosed', { openExchanges, connections: callers.connections() });
    onStopped(isBroken);
  };
  const faults = createInternalFaults({
    logger,
    nowMs: clock.nowMs,
    emit,
    exchanges,
    codec: adapter.headers,
    isHandled: (exchangeId) => hasRequest(state, exchangeId),
    onBroken: stopBroken,
  });
  const metrics = params.metrics ?? createGatewayMetrics();
  const configurations = createEncodedConfigurations(logger);
  const calls = createPlatformCallCounts({ metric: metrics.platformCalls, logger, clock });

  const onTried = (attempt: ConnectionTry): void => {
    countConnection(metrics, attempt);
    emit({ type: 'connectionTried', attempt });
  };
  const dialer = createServerDialer({
    state,
    nowMs: clock.nowMs,
    onTried,
    onFailed: ({ serverId, requestId }, attempts) =>
      logger('connectionFailed', {
        server: serverId,
        request: requestId,
        attempts: attempts.map(describeAttempt).join(' '),
      }),
  });
  const linkChecker = createLinkChecker({ state, onTried });
  const tunnels = createTunnelServer({
    decide: (request) => decideTunnel(state, request, clock.nowMs()),
    onTried,
    checkLinks: (serverId, sinceMs) => linkChecker.check({ sinceMs, exceptServerId: serverId }),
    nowMs: clock.nowMs,
    onFault: faults.onUncaught,
    emit,
  });

  const peers = await openPeerSocket({
    address: { host: settings.box.ip, port: settings.listen.peersPort },
    onMessage: (message) => emit(eventOfDatagram(message)),
    onFault: (reason) => logger('peerLinkFault', { reason }),
    onRequest: createStateHandler({
      configurations,
      sharedState: (withServers) => sharedStateOf(state, withServers),
      holders: () => configurationHolders(state, clock.nowMs()),
      logger,
      metrics: metrics.transfers,
    }),
    onConnect: tunnels.onConnect,
  });
  const store = adapter.openStore(settings, {
    onEra: (era) => {
      if (isNewEra(state, era)) emit({ type: 'storeEra', era });
    },
    onCall: calls.count,
  });
  const registry = createRegistryReader({
    store,
    state,
    clock,
    emit,
    onFault: faults.onCallFailed,
  });
  const shares = bufferShares(
    settings.answers?.maxBufferedBytes ?? defaultBufferedBytes(observedMemoryBytes()),
  );
  const threadLoad = createThreadLoadMeter(TICK_MS);
  const reads = createReadProgress(threadLoad.lateMs);
  const runtime: Runtime = {
    settings,
    adapter,
    store,
    cloud: adapter.openCloud(settings),
    state,
    clock,
    dialer,
    linkChecker,
    pool: createConnectionPool(
      dialer,
      (connection) => isConnectionUsable(state, connection, clock.nowMs()),
      clock,
    ),
    peers,
    states: createStateFetcher({
      configuration: () => state.active?.configuration,
      isKnownBox: (address) => isKnownBox(state, address),
      onConfiguration(configuration, received) {
        emit({ type: 'configurationRead', configuration, source: 'peer' });
        configurations.adopt(received);
      },
      onFailed: (failure) => emit({ type: 'configurationTransferFailed', ...failure }),
      logger,
      metrics: metrics.transfers,
    }),
    feeds: undefined,
    registry,
    exchanges,
    faults,
    attempts: new Map(),
    answerHolds: createAnswerHolds({ state, registry, clock, emit }),
    bufferShares: shares,
    answerBudget: createAnswerBudget(shares.answerBytes),
    requestBudget: createRequestBudget(shares.requestBytes),
    readTurns: createReadTurns(),
    threadLoad,
    reads,
    logger,
    metrics,
    calls,
    emit,
    onStopped: () => void finish(),
  };
  const feeds = followPlatform(runtime);
  runtime.feeds = feeds;
  const { callers, requests, others } = await listenAll(runtime);
  const servers = [callers.server, ...others];
  const tick = (load: ThreadLoad): void => {
    emit({ type: 'tick', load, openExchanges: callers.openExchanges() });
    setClosesAny(runtime, callers, requests);
    for (const attempt of [...runtime.attempts.values()]) attempt.checkBodilessBytes();
    calls.logWhenDue();
  };
  let isTickWaiting = false;
  const ticker = setInterval(() => {
    const load = threadLoad.measure();
    reads.recordLoad(load);
    if (isTickWaiting) return;
    isTickWaiting = true;
    // Time limits count what has arrived in time, though it is read late.
    reads.afterReads(() => {
      isTickWaiting = false;
      tick(load);
    });
  }, TICK_MS);
  logger('started', { zone: settings.box.zone, incarnation });
  return {
    state,
    stop: () => emit({ type: 'stopAsked' }),
    onUncaught: faults.onUncaught,
    async close() {
      clearInterval(ticker);
      feeds.stop();
      peers.close();
      tunnels.closeAll();
      runtime.pool.closeAll();
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
      await runtime.store.close();
      await runtime.cloud?.close();
    },
  };
}

/** Opens the servers for callers, and for the load balancer and the operators. */
async function listenAll(
  runtime: Runtime,
): Promise<{ callers: CallerServer; requests: HeldRequests; others: Server[] }> {
  const { settings, state } = runtime;
  const requests = createCallerRequests(runtime, () => setClosesAny(runtime, callers, requests));
  const callers = createCallerServer({
    onRequest: requests.add,
    onCallerGone: (exchangeId) => {
      if (requests.drop(exchangeId)) return;
      runtime.exchanges.delete(exchangeId);
      runtime.emit({ type: 'callerGone', exchangeId, lateMs: runtime.reads.lateMs() });
    },
    onRejected: (status, reason) => runtime.logger('requestRejected', { status, reason }),
    shutdownHeaders: () =>
      runtime.adapter.headers.refusalHeaders({
        requestId: undefined,
        retryAfterMs: STOPPING_RETRY_MS,
      }),
    noRoomHeaders: () =>
      runtime.adapter.headers.refusalHeaders({
        requestId: undefined,
        retryAfterMs: NO_SERVER_RETRY_MS,
      }),
    requestBudget: runtime.requestBudget,
    limits: () => state.active?.configuration.limits,
    isShuttingDown: () => state.stoppingSinceMs !== undefined,
    onConnection: requests.onConnection,
    onConnectionClosed: () => {
      runtime.metrics.closedConnections.inc();
      requests.onConnection();
    },
  });
  const readiness = createServer((_request, response) => {
    response.writeHead(isReady(state) && runtime.faults.isSound() ? 200 : 503, {
      'content-length': 0,
    });
    response.end();
  });
  const operators = createOperatorServer(runtime);
  const { listen, box } = settings;
  await listenOn(callers.server, listen.callers);
  await listenOn(readiness, listen.readiness);
  await listenOn(operators, { host: box.ip, port: listen.metricsPort });
  return { callers, requests, others: [readiness, operators] };
}

/** Closes new connections unread while the box is overloaded or connections have waited for long to be accepted. */
function setClosesAny(runtime: Runtime, callers: CallerServer, requests: HeldRequests): void {
  const isOverloaded = runtime.state.overload.closesSinceMs !== undefined;
  setClosesConnections(callers.server, isOverloaded || requests.closesConnections());
}

function listenOn(server: Server, address: HostPort): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });
}
