/** Errors of the HTTP API: their JSON body and HTTP status. */
import { Outcome } from 'reedlug-coordination';
import { Reason } from 'reedlug-decisions';

/** Error types in answers of the API. */
export const ApiErrorType = {
  badRequest: 'badRequest',
  unauthorized: 'unauthorized',
  notFound: 'notFound',
  bodyTooLarge: 'bodyTooLarge',
  headersTooLarge: 'headersTooLarge',
  requestTimeout: 'requestTimeout',
  limited: 'limited',
  overloaded: 'overloaded',
  unavailable: 'unavailable',
  deadline: 'deadline',
  keyReused: 'keyReused',
  connectionLost: 'connectionLost',
  handedOver: 'handedOver',
  unknownOutcome: 'unknownOutcome',
} as const;
export type ApiErrorType = (typeof ApiErrorType)[keyof typeof ApiErrorType];

/** An error as a caller sees it. */
export interface ApiError {
  status: number;
  type: ApiErrorType;
  message: string;
  outcome: Outcome;
  retryAfterMs: number | undefined;
}

const STATUS_BY_ERROR_TYPE: { [K in ApiErrorType]: number } = {
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  bodyTooLarge: 413,
  headersTooLarge: 431,
  requestTimeout: 408,
  limited: 429,
  overloaded: 503,
  unavailable: 503,
  deadline: 504,
  keyReused: 422,
  connectionLost: 502,
  handedOver: 503,
  unknownOutcome: 502,
};

/** Returns the error for a request that was not accepted, so that nothing was run. */
export function refusedError(type: ApiErrorType, message: string, retryAfterMs?: number): ApiError {
  return {
    status: STATUS_BY_ERROR_TYPE[type],
    type,
    message,
    outcome: Outcome.notRun,
    retryAfterMs,
  };
}

/** Returns the error for an accepted request that did not complete. */
export function errorFromFinish(finish: {
  outcome: Outcome;
  reason: Reason;
  retryAfterMs: number | undefined;
}): ApiError {
  const { outcome, retryAfterMs } = finish;
  const { type, message } = describeReason(finish.reason, outcome);
  return { status: STATUS_BY_ERROR_TYPE[type], type, message, outcome, retryAfterMs };
}

function describeReason(reason: Reason, outcome: Outcome): { type: ApiErrorType; message: string } {
  switch (reason) {
    case Reason.limited:
      return {
        type: 'limited',
        message: 'the workspace is over its limit; retry after the given time',
      };
    case Reason.overloaded:
      return { type: 'overloaded', message: 'the workspace has too many queued requests' };
    case Reason.draining:
      return { type: 'unavailable', message: 'this entry box is shutting down; reconnect' };
    case Reason.notReady:
      return { type: 'unavailable', message: 'this entry box is still starting; reconnect' };
    case Reason.claimUnavailable:
      return {
        type: 'unavailable',
        message:
          'the table did not answer, so the Idempotency-Key could not be claimed; nothing was run',
      };
    case Reason.deadline:
      return { type: 'deadline', message: 'the deadline cannot be met' };
    case Reason.keyReused:
      return {
        type: 'keyReused',
        message: 'the Idempotency-Key was used for another request; use a new key',
      };
    case Reason.notFound:
      return { type: 'notFound', message: 'not found' };
    case Reason.handedOver:
      return {
        type: 'handedOver',
        message: 'another entry box took over the request; reconnect with its id',
      };
    case Reason.holderGone:
    case Reason.callerGone:
    case Reason.connectionLost:
    case Reason.answered:
      return describeLostAnswer(outcome);
  }
}

function describeLostAnswer(outcome: Outcome): { type: ApiErrorType; message: string } {
  if (outcome === Outcome.unknown) {
    return {
      type: 'unknownOutcome',
      message:
        'the request may have run and will not be sent again; check its effect before repeating it',
    };
  }
  return {
    type: 'connectionLost',
    message: 'the server was lost before the answer was complete',
  };
}

/** Returns the JSON body of an error. */
export function errorBody(error: ApiError, requestId: string | undefined): string {
  const { type, message, outcome, retryAfterMs } = error;
  return JSON.stringify({ error: { type, message, outcome, retryAfterMs, requestId } });
}
