/** Runs the effects of the reducer. All I/O that follows from a decision starts here. */
import {
  ServerKind,
  type BoxState,
  type Effect,
  type PeerMessage,
  type RequestSpec,
} from 'reedlug-decisions';
import {
  exportKv,
  moveCache,
  openEngineStream,
  probeEngine,
  sendOrder,
} from '../backends/engineClient.js';
import { callService, probeService } from '../backends/serviceClient.js';
import { encodeAnswer } from './answerStore.js';
import { deliverTokens, finishRequest } from './callerEffects.js';
import { encodePayload, type Payload } from './exchange.js';
import type { Runtime } from './runtime.js';

/** Runs one effect. */
export function runEffect(runtime: Runtime, effect: Effect): void {
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
      return startCacheMove(runtime, effect);
    case 'deliverTokens':
      return deliverTokens(runtime, effect);
    case 'finishRequest':
      return finishRequest(runtime, effect);
    case 'requestTable':
      void runtime.platform
        .table(effect.op)
        .then((answer) => runtime.emit({ type: 'tableAnswered', opId: effect.opId, answer }));
      return undefined;
    case 'writeSnapshot':
      void runtime.platform.writeSnapshot(effect.snapshot);
      return undefined;
    case 'sendPeer':
      runtime.peerLink?.send(effect.boxId, attachDaemonData(runtime, effect.message));
      return undefined;
    case 'probeServer':
      return probeServer(runtime, effect.serverId);
    case 'sendOrder':
      return sendEngineOrder(runtime, effect);
    case 'askCloud':
      void runtime.platform
        .cloud(effect.ask)
        .then((answer) => runtime.emit({ type: 'cloudAnswered', askId: effect.askId, answer }));
      return undefined;
    case 'answerOperator':
      runtime.pendingOperatorRequests.get(effect.askId)?.(effect.answer);
      runtime.pendingOperatorRequests.delete(effect.askId);
      return undefined;
    case 'forgetRequest':
      runtime.payloads.delete(effect.requestId);
      runtime.answers.removeRequestAnswer(effect.requestId);
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

function isPartitioned(runtime: Runtime, spec: Spec): boolean {
  return runtime.options.partitions.zone(spec.zone);
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
  if (isPartitioned(runtime, spec)) {
    runtime.emit({ type: 'attemptRefused', attemptId, reason: 'notConnected' });
    return;
  }
  switch (payload.kind) {
    case 'prompt':
      return startEngineStream(runtime, effect, spec, record, payload.prompt);
    case 'call':
      return startServiceCall(runtime, effect, spec, payload);
  }
}

function startEngineStream(
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

function startServiceCall(
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
    onAnswer: (answer) => runtime.answers.setAttemptAnswer(attemptId, answer),
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

function startCacheMove(runtime: Runtime, effect: Extract<Effect, { type: 'moveCache' }>): void {
  const source = runtime.state.servers.get(effect.serverId)?.spec;
  const target = runtime.state.servers.get(effect.targetServerId)?.spec;
  if (source === undefined || target === undefined) return;
  const { affinityHash, tokens } = effect;
  void moveCache(runtime.pools, { source, target, affinityHash, tokens }, runtime.emit);
}

/** Adds data that only the daemon holds: payloads of handed-over requests, service answers. */
function attachDaemonData(runtime: Runtime, message: PeerMessage): PeerMessage {
  if (message.kind === 'handover') {
    const payload = runtime.payloads.get(message.spec.requestId);
    return payload === undefined ? message : { ...message, payload: encodePayload(payload) };
  }
  if (message.kind === 'sight') {
    const answer = runtime.answers.getRequestAnswer(message.sight.requestId);
    if (answer === undefined) return message;
    return { ...message, sight: { ...message.sight, answer: encodeAnswer(answer) } };
  }
  return message;
}

function probeServer(runtime: Runtime, serverId: string): void {
  const spec = runtime.state.servers.get(serverId)?.spec;
  if (spec === undefined) return;
  if (isPartitioned(runtime, spec)) {
    runtime.emit({ type: 'serverReported', serverId, report: undefined });
    return;
  }
  if (spec.kind === ServerKind.engine) void probeEngine(runtime.pools, spec, runtime.emit);
  else void probeService(runtime.pools, spec, runtime.emit);
}

function sendEngineOrder(runtime: Runtime, effect: Extract<Effect, { type: 'sendOrder' }>): void {
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
