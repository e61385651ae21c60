/**
 * What a box does about exceptions of its own code.
 *
 * A request whose event or effect threw fails alone. The reducer answers the requests that it still knows; those that
 * an exception has left to nobody are answered here, as not run only if nothing of them was handed to a connection.
 * Exceptions are logged. Where those outside of requests go on, what the box believes may be broken, so it stops being
 * ready, and ends once its requests have, or at the end of the grace period. Those of requests do not end it: a caller
 * whose requests throw would end one box after another.
 */
import type { HeaderCodec } from '../adapter.js';
import type { Logger } from '../observe/logger.js';
import { NO_SERVER_RETRY_MS } from '../slices/requests/requestCompletion.js';
import type { Effect } from '../types/effect.js';
import type { EventBody } from '../types/event.js';
import { INTERNAL_FAULT_REASON } from '../types/request.js';
import type { StepFault } from '../types/stepFault.js';
import type { CallerExchange } from './callerServer.js';
import { writeRefusal } from './exchanges.js';

/** Exceptions outside of requests after which a box stops, and the time within which they count, in ms. */
const MAX_FAULTS = 20;
const FAULT_WINDOW_MS = 10_000;
/** Time without a handled tick after which a box is no longer ready, in ms. */
const MAX_TICK_AGE_MS = 3000;
/** Answers to a request that failed here: it may have run, and it has not. */
const MAY_HAVE_RUN_STATUS = 502;
const NOT_RUN_STATUS = 503;

/** What the handling of exceptions needs of the box. */
export interface InternalFaultsContext {
  logger: Logger;
  nowMs: () => number;
  emit: (body: EventBody) => void;
  exchanges: Map<number, CallerExchange>;
  codec: HeaderCodec;
  /** Whether the state still has the request of an exchange. */
  isHandled: (exchangeId: number) => boolean;
  /** Called once when the box has to stop. */
  onBroken: () => void;
}

/** Handles the exceptions of a box. */
export interface InternalFaults {
  /** An event was handled, with these exceptions. */
  onEventHandled: (body: EventBody, faults: readonly StepFault[]) => void;
  /** Performs an effect; what it throws fails its request alone. */
  perform: (effect: Effect, performEffect: (effect: Effect) => void) => void;
  /** Runs a callback of a request, which may not be in the state yet; what it throws fails the request alone. */
  runFor: (exchange: CallerExchange, run: () => void) => void;
  /** A call to the platform threw, and is handled as one without an answer. */
  onCallFailed: (error: unknown) => void;
  /** Answers each request that is open, before the process ends: as not run only if nothing of it was sent. */
  answerAll: () => void;
  /** An exception that nothing caught. */
  onUncaught: (error: unknown) => void;
  /** Whether events are handled, as far as exceptions and ticks show. */
  isSound: () => boolean;
}

/** Creates the handling of exceptions of a box that starts now. */
export function createInternalFaults(context: InternalFaultsContext): InternalFaults {
  const { nowMs, emit, exchanges, codec, isHandled, onBroken } = context;
  const faultsAtMs: number[] = [];
  let isBroken = false;
  let tickedAtMs = nowMs();

  const logger: Logger = (event, fields) => {
    try {
      context.logger(event, fields);
    } catch {
      // Without a log there is no line to write; what is to be done about the exception goes on.
    }
  };

  const recordFault = (): void => {
    faultsAtMs.push(nowMs());
    if (faultsAtMs.length > MAX_FAULTS) faultsAtMs.shift();
    const [firstAtMs = 0] = faultsAtMs;
    const areMany = faultsAtMs.length === MAX_FAULTS && nowMs() - firstAtMs < FAULT_WINDOW_MS;
    if (!areMany || isBroken) return;
    isBroken = true;
    logger('boxBroken', { faults: MAX_FAULTS, withinMs: FAULT_WINDOW_MS });
    onBroken();
  };

  const answerUnhandledRequests = (): void => {
    for (const [exchangeId, exchange] of [...exchanges]) {
      if (isHandled(exchangeId)) continue;
      exchanges.delete(exchangeId);
      failExchange(exchange, codec);
    }
  };

  const failRequest = (exchange: CallerExchange): void => {
    exchanges.delete(exchange.id);
    failExchange(exchange, codec);
    emit({ type: 'callerGone', exchangeId: exchange.id });
  };

  const failEffect = (
    effect: Effect,
    exchange: CallerExchange | undefined,
    error: unknown,
  ): void => {
    const request = 'requestId' in effect ? effect.requestId : '';
    const fields = { type: effect.type, request, exchange: exchange?.id ?? '' };
    logger('effectFault', { ...fields, ...describeError(error) });
    if (effect.type === 'send') {
      const { exchangeId, attemptId } = effect;
      return emit({ type: 'attemptNotSent', exchangeId, attemptId, reason: INTERNAL_FAULT_REASON });
    }
    // A line that can't be written does no harm to what the box does.
    if (effect.type === 'log') return;
    if (exchange === undefined) return recordFault();
    failRequest(exchange);
  };

  return {
    onEventHandled(body, faults) {
      for (const { error, exchangeId } of faults) {
        const fields = { type: body.type, exchange: exchangeId ?? '' };
        logger('eventFault', { ...fields, ...describeError(error) });
      }
      const isFaulty = faults.some(({ exchangeId }) => exchangeId === undefined);
      if (isFaulty) recordFault();
      else if (body.type === 'tick') tickedAtMs = nowMs();
      if (faults.length > 0) answerUnhandledRequests();
    },
    perform(effect, performEffect) {
      const exchangeId = 'exchangeId' in effect ? effect.exchangeId : undefined;
      const exchange = exchangeId === undefined ? undefined : exchanges.get(exchangeId);
      try {
        performEffect(effect);
      } catch (error) {
        failEffect(effect, exchange, error);
      }
    },
    runFor(exchange, run) {
      try {
        run();
      } catch (error) {
        logger('callbackFault', { exchange: exchange.id, ...describeError(error) });
        failRequest(exchange);
      }
    },
    answerAll() {
      for (const exchange of [...exchanges.values()]) {
        logger('exchangeOpenAtStop', { exchange: exchange.id, isSent: exchange.isSent });
        failRequest(exchange);
      }
    },
    onCallFailed: (error) => logger('callFault', describeError(error)),
    onUncaught(error) {
      logger('uncaughtFault', describeError(error));
      recordFault();
    },
    isSound: () => !isBroken && nowMs() - tickedAtMs < MAX_TICK_AGE_MS,
  };
}

/** Ends an answer that can't be completed: with a status while none was sent, else by closing the connection. */
function failExchange(exchange: CallerExchange, codec: HeaderCodec): void {
  const { response, isSent } = exchange;
  if (response.headersSent) return void response.destroy();
  try {
    const retry = isSent
      ? { status: MAY_HAVE_RUN_STATUS, retryAfterMs: undefined }
      : { status: NOT_RUN_STATUS, retryAfterMs: NO_SERVER_RETRY_MS };
    const decoded = codec.decodeRequest(exchange.head);
    const requestId = decoded.kind === 'request' ? decoded.facts.requestId : undefined;
    writeRefusal(exchange, codec, { ...retry, reason: INTERNAL_FAULT_REASON, requestId });
  } catch {
    // The answer itself can't be written; a closed connection promises nothing.
    response.destroy();
  }
}

function describeError(error: unknown): { error: string; stack: string } {
  if (!(error instanceof Error)) return { error: String(error), stack: '' };
  return { error: error.message, stack: error.stack ?? '' };
}
