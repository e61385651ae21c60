/** Answers of plain services: by attempt while a request runs, by request for later lookups. */
import type { RelayedAnswer } from 'reedlug-decisions';
import type { ServiceAnswer } from '../backends/serviceClient.js';

/** Answers of plain services, by attempt and by request. */
export interface AnswerStore {
  /** Stores the answer of an attempt until its request finishes. */
  setAttemptAnswer: (attemptId: string, answer: ServiceAnswer) => void;
  /** Removes and returns the answer of an attempt. */
  takeAttemptAnswer: (attemptId: string) => ServiceAnswer | undefined;
  /**
   * Stores the answer of a request for callers that follow it. Drops the oldest answers
   * when the stored bodies exceed `MAX_STORED_BYTES`.
   */
  setRequestAnswer: (requestId: string, answer: ServiceAnswer) => void;
  getRequestAnswer: (requestId: string) => ServiceAnswer | undefined;
  removeRequestAnswer: (requestId: string) => void;
}

/** Maximum total size of the answer bodies that are stored by request. */
const MAX_STORED_BYTES = 16 * 1024 * 1024;

/** Returns an empty store. */
export function createAnswerStore(): AnswerStore {
  const byAttempt = new Map<string, ServiceAnswer>();
  const byRequest = new Map<string, ServiceAnswer>();
  let storedBytes = 0;
  const removeRequestAnswer = (requestId: string): void => {
    storedBytes -= byRequest.get(requestId)?.body.length ?? 0;
    byRequest.delete(requestId);
  };
  return {
    setAttemptAnswer: (attemptId, answer) => void byAttempt.set(attemptId, answer),
    takeAttemptAnswer(attemptId) {
      const answer = byAttempt.get(attemptId);
      byAttempt.delete(attemptId);
      return answer;
    },
    setRequestAnswer(requestId, answer) {
      byRequest.set(requestId, answer);
      storedBytes += answer.body.length;
      for (const oldest of byRequest.keys()) {
        if (storedBytes <= MAX_STORED_BYTES) break;
        removeRequestAnswer(oldest);
      }
    },
    getRequestAnswer: (requestId) => byRequest.get(requestId),
    removeRequestAnswer,
  };
}

/** Encodes an answer for a message of the peer link. */
export function encodeAnswer(answer: ServiceAnswer): RelayedAnswer {
  const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
  return { contentType, latin1: answer.body.toString('latin1') };
}

/** Decodes an answer that was received over the peer link. */
export function decodeAnswer(answer: RelayedAnswer, status: number): ServiceAnswer {
  const headers = { 'content-type': answer.contentType };
  return { status, headers, body: Buffer.from(answer.latin1, 'latin1') };
}
