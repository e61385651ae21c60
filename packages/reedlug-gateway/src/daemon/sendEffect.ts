/** Sends a request to a server, and passes on what becomes of it as events. */
import { unreadBound } from '../policy/bufferShares.js';
import { DEFAULT_ANSWER_SETTINGS } from '../settings/defaults.js';
import { findOpenAttempt } from '../slices/requests/openAttempts.js';
import type { EffectOf } from '../types/effect.js';
import type { AttemptIds } from '../types/request.js';
import type { AnswerSettings } from '../types/settings.js';
import { sendAttempt } from './backendAttempt.js';
import type { CallerExchange } from './callerServer.js';
import { writeEvents } from './exchanges.js';
import type { Runtime } from './runtime.js';

/** Sends once what has arrived is read: the end of the caller's connection, or an answer that makes a repeat needless. */
export function sendOnceRead(runtime: Runtime, effect: EffectOf<'send'>): void {
  const { reads, clock, faults, state, metrics } = runtime;
  if (!reads.isBehind()) return send(runtime, effect);
  const decidedAtMs = clock.nowMs();
  reads.afterReads(() => {
    const isGone = runtime.exchanges.get(effect.exchangeId)?.isCallerGone() ?? true;
    if (isGone || findOpenAttempt(state, effect) === undefined) {
      return metrics.avoidedSends.inc();
    }
    const waitedMs = Math.round(clock.nowMs() - decidedAtMs);
    const deadlineMs = Math.max(1, effect.order.deadlineMs - waitedMs);
    const order = { ...effect.order, deadlineMs };
    faults.perform({ ...effect, order }, () => send(runtime, { ...effect, order }));
  });
}

function send(runtime: Runtime, effect: EffectOf<'send'>): void {
  const { exchangeId, attemptId, order, streaming } = effect;
  const exchange = runtime.exchanges.get(exchangeId);
  const record = runtime.state.requests.get(exchangeId);
  if (exchange === undefined || record === undefined) return;
  const { head, body } = exchange;
  const { serverId, address } = order;
  const { requestId } = record.facts;
  const ids = { exchangeId, attemptId };
  const end = (): void => {
    runtime.attempts.delete(attemptId);
    runtime.answerHolds.forget(attemptId);
  };
  const request = {
    requestId,
    method: head.method,
    path: head.path,
    headers: runtime.adapter.headers.encodeSend(head.rawHeaders, order),
    body,
    streaming,
    isResumed: exchange.lastEventId !== undefined,
  };
  const target = { serverId, address, requestId };
  const connection = runtime.pool.acquire(target, order.needsFreshConnection);
  // What throws from here on may have happened after the first byte was handed over.
  exchange.isSent = true;
  const guard = guardFor(runtime, exchange);
  const attempt = sendAttempt({
    connection,
    pool: runtime.pool,
    codec: runtime.adapter.headers,
    request,
    bounds: answerSettings(runtime),
    budget: runtime.answerBudget,
    turns: runtime.readTurns,
    listener: {
      onNotSent: guard((reason) => {
        end();
        runtime.emit({ type: 'attemptNotSent', ...ids, reason });
      }),
      onAnswerHead: guard((statements) => {
        runtime.emit({ type: 'answerBegun', ...ids, statements });
      }),
      onStreamHead: guard(() => holdUntilRelayable(runtime, exchange, ids, connection.openedAtMs)),
      onAnswered: guard((verdict, status, endsWithConnection) => {
        const isReadLate = runtime.reads.isBehind();
        const answer = { verdict, status, endsWithConnection, isReadLate };
        runtime.emit({ type: 'attemptAnswered', ...ids, ...answer });
        if (!streaming || verdict !== 'success') end();
      }),
      onEvents: guard((events) => {
        const written = writeEvents(exchange, events);
        if (written.kind === 'gap') {
          runtime.attempts.get(attemptId)?.cancel();
          end();
          runtime.emit({ type: 'attemptLost', ...ids, reason: 'eventMissing' });
          return;
        }
        runtime.emit({ type: 'eventsRelayed', ...ids, lastEventId: written.lastEventId });
        holdWhileUnread(runtime, exchange, ids);
      }),
      onGivenUp: guard((bytes) =>
        runtime.logger('answerGivenUp', { request: requestId, server: serverId, bytes }),
      ),
      onEnded: guard(() => {
        end();
        exchange.response.end();
        runtime.exchanges.delete(exchangeId);
        runtime.emit({ type: 'attemptEnded', ...ids });
      }),
      onLost: guard((reason) => {
        end();
        runtime.emit({ type: 'attemptLost', ...ids, reason });
      }),
    },
  });
  if (!attempt.isOver()) runtime.attempts.set(attemptId, attempt);
}

/** Returns a function that lets what a callback of a request throws fail that request alone. */
function guardFor({ faults }: Runtime, exchange: CallerExchange) {
  return <Values extends unknown[]>(run: (...values: Values) => void) =>
    (...values: Values): void =>
      faults.runFor(exchange, () => run(...values));
}

function answerSettings({ settings }: Runtime): AnswerSettings {
  return settings.answers ?? DEFAULT_ANSWER_SETTINGS;
}

/** Stops reading from a stream's server while its caller has too much left to read. */
function holdWhileUnread(runtime: Runtime, exchange: CallerExchange, ids: AttemptIds): void {
  const { response } = exchange;
  const { maxUnreadBytes } = answerSettings(runtime);
  const { unreadBytes } = runtime.bufferShares;
  const exchanges = runtime.exchanges.size;
  const attempt = runtime.attempts.get(ids.attemptId);
  const boundBytes = unreadBound({ maxUnreadBytes, unreadBytes, exchanges });
  if (attempt === undefined || response.writableLength <= boundBytes) return;
  if (!attempt.pause()) return;
  runtime.emit({ type: 'attemptHeld', ...ids, isHeld: true });
  const guard = guardFor(runtime, exchange);
  const readOn = guard(() => {
    attempt.resume();
    runtime.emit({ type: 'attemptHeld', ...ids, isHeld: false });
  });
  response.once('drain', readOn);
}

/**
 * Reads the events of a stream's server once they may be relayed: if reading the registry shows that the server is in its
 * next life, the attempt is cancelled meanwhile.
 */
function holdUntilRelayable(
  runtime: Runtime,
  exchange: CallerExchange,
  ids: AttemptIds,
  connectedAtMs: number | undefined,
): void {
  const { answerHolds, attempts } = runtime;
  if (!answerHolds.mustHold(ids)) return;
  const attempt = attempts.get(ids.attemptId);
  if (attempt?.pause() !== true) return;
  runtime.emit({ type: 'attemptHeld', ...ids, isHeld: true });
  const guard = guardFor(runtime, exchange);
  const readOn = guard(() => {
    if (attempts.get(ids.attemptId) !== attempt) return;
    runtime.emit({ type: 'attemptHeld', ...ids, isHeld: false });
    attempt.resume();
  });
  void answerHolds.untilRelayable(ids, connectedAtMs).then(readOn);
}
