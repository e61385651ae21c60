/** Answers of plain services: until their request ends, and then for later questions. */
import type { RelayedAnswer } from 'reedlug-decisions';
import type { ServiceAnswer } from '../backends/serviceClient.js';

/** Answers by attempt and by request. */
export interface AnswerStore {
  /** Keeps the answer of an attempt until its request ends. */
  putAttempt: (attemptId: string, answer: ServiceAnswer) => void;
  takeAttempt: (attemptId: string) => ServiceAnswer | undefined;
  /** Keeps the answer of a request for followers; the oldest goes when there are too many. */
  keep: (requestId: string, answer: ServiceAnswer) => void;
  kept: (requestId: string) => ServiceAnswer | undefined;
  forget: (requestId: string) => void;
}

const KEPT_BYTES_LIMIT = 16 * 1024 * 1024;

/** Returns an empty store. */
export function createAnswerStore(): AnswerStore {
  const byAttempt = new Map<string, ServiceAnswer>();
  const byRequest = new Map<string, ServiceAnswer>();
  let keptBytes = 0;
  const forget = (requestId: string): void => {
    keptBytes -= byRequest.get(requestId)?.body.length ?? 0;
    byRequest.delete(requestId);
  };
  return {
    putAttempt: (attemptId, answer) => void byAttempt.set(attemptId, answer),
    takeAttempt(attemptId) {
      const answer = byAttempt.get(attemptId);
      byAttempt.delete(attemptId);
      return answer;
    },
    keep(requestId, answer) {
      byRequest.set(requestId, answer);
      keptBytes += answer.body.length;
      for (const oldest of byRequest.keys()) {
        if (keptBytes <= KEPT_BYTES_LIMIT) break;
        forget(oldest);
      }
    },
    kept: (requestId) => byRequest.get(requestId),
    forget,
  };
}

/** An answer in the form of the peer link. */
export function relayAnswer(answer: ServiceAnswer): RelayedAnswer {
  const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
  return { contentType, latin1: answer.body.toString('latin1') };
}

/** An answer that came over the peer link. */
export function receiveAnswer(answer: RelayedAnswer, status: number): ServiceAnswer {
  const headers = { 'content-type': answer.contentType };
  return { status, headers, body: Buffer.from(answer.latin1, 'latin1') };
}
