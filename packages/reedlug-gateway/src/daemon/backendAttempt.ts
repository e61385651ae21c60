/**
 * Sends a request to a backend server once and reads the answer.
 *
 * A plain (non-streaming) answer is buffered completely before it is reported, so that a
 * truncated answer can be replaced by a retry. A stream is reported when its first complete
 * event arrives; later events are reported as they arrive.
 */
import type { Dispatcher } from 'undici';
import type { HeaderCodec } from '../adapter.js';
import { INTERNAL_FAULT_REASON, type AnswerVerdict } from '../types/request.js';
import type { AnswerSettings } from '../types/settings.js';
import type { AnswerStatements } from '../types/serverStatement.js';
import type { Connection, ConnectionPool } from './connectionPool.js';
import { faultOfAnswerHead } from './answerHeadFault.js';
import type { AnswerBudget } from './bufferBudget.js';
import { createByteBuffer } from './byteBuffer.js';
import { createEventSplitter, type StreamEvent } from './eventSplitter.js';
import { createReadShare } from './readShare.js';
import type { ReadTurns } from './readTurns.js';
import { createRepeatDetector } from './repeatedEvents.js';

/** Largest number of interim answers (1xx) before a final one. */
const MAX_INTERIM_ANSWERS = 16;
/** Largest size of the heads before a body, in bytes; a single head may have a quarter of it. */
const MAX_HEAD_BYTES = 65_536;
/** Bytes beside a body that each of its pieces may bring: the size of a chunk, and the ends of lines. */
const MAX_BYTES_BESIDE_PIECE = 32;

/** Head of an answer, and its body if the answer is plain. */
export interface BackendAnswer {
  status: number;
  statusText: string;
  rawHeaders: string[];
  body: Buffer;
}

/** Receives the progress of an attempt. */
export interface AttemptListener {
  onNotSent: (reason: string) => void;
  /** Called when the head of this server's answer to this request has arrived. */
  onAnswerHead: (statements: AnswerStatements) => void;
  /** Called when the head of a stream has arrived; the listener may pause the attempt until it wants the events. */
  onStreamHead: () => void;
  onAnswered: (verdict: AnswerVerdict, status: number, endsWithConnection: boolean) => void;
  onEvents: (events: readonly StreamEvent[]) => void;
  /** Called before the outcome of an answer of this size that is given up for want of memory. */
  onGivenUp: (bytes: number) => void;
  onEnded: () => void;
  onLost: (reason: string) => void;
}

/** Request to send to a backend server. */
export interface AttemptRequest {
  requestId: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
  streaming: boolean;
  /** Whether the caller has a part of the stream, so that its rest may hold no event. */
  isResumed?: boolean;
}

/** Bounds on an answer. */
export type AnswerBounds = Pick<AnswerSettings, 'maxEventBytes' | 'maxPlainBytes'>;

/** Attempt in progress. */
export interface BackendAttempt {
  /** Returns the answer: complete once a plain answer has been reported, without a body for a stream. */
  answer: () => BackendAnswer | undefined;
  /** Whether its outcome has been reported, or it was cancelled. */
  isOver: () => boolean;
  /** Closes the connection, so that the server stops working, and reports nothing more. */
  cancel: () => void;
  /** Stops reading from the server; returns false if it is not read already. */
  pause: () => boolean;
  /** Reads on. */
  resume: () => void;
  /** Ends the attempt if a head, or what frames a body, is too large; parts of these are not reported one by one. */
  checkBodilessBytes: () => void;
}

/** Sends a request on a connection and reports the progress to the listener. */
export function sendAttempt(params: {
  connection: Connection;
  pool: ConnectionPool;
  codec: HeaderCodec;
  request: AttemptRequest;
  listener: AttemptListener;
  bounds: AnswerBounds;
  budget: AnswerBudget;
  turns: ReadTurns;
}): BackendAttempt {
  const { connection, pool, codec, request, listener, bounds, turns } = params;
  const splitter = createEventSplitter();
  const repeatsEvents = createRepeatDetector();
  const share = createReadShare(turns, () => readRest());
  const body = createByteBuffer();
  let interimAnswers = 0;
  let readBefore = 0;
  let bodyBytes = 0;
  let pieces = 0;
  let heldBytes = 0;
  let rest: Buffer = Buffer.alloc(0);
  let sent = false;
  let settled = false;
  let isStreamStarted = false;
  let verdict: AnswerVerdict | undefined;
  let answer: BackendAnswer | undefined;

  const settle = (report: () => void): void => {
    if (settled) return;
    settled = true;
    if (connection.reader === reader) connection.reader = undefined;
    hold.release();
    report();
  };
  const discardConnection = (): void => pool.discard(connection);
  const isStream = (): boolean => request.streaming && verdict === 'success';

  /** Reports an answer that is no answer to the request, or none that can be passed on. */
  const rejectAnswer = (status: number): void => {
    settle(() => listener.onAnswered('invalid', status, connection.isCloseDelimited));
    discardConnection();
  };

  /** Gives up an answer that breaks a bound. */
  const lose = (reason: string): void => {
    settle(() => listener.onLost(reason));
    discardConnection();
  };

  const hold = params.budget.hold(() => {
    if (settled) return;
    listener.onGivenUp(heldBytes);
    rejectAnswer(answer?.status ?? 0);
  });

  /** Counts what is buffered of the answer now. */
  const countBuffered = (bytes: number): void => {
    if (bytes === heldBytes) return;
    const added = bytes - heldBytes;
    heldBytes = bytes;
    hold.add(added);
  };

  const checkBodilessBytes = (): void => {
    if (settled || !sent) return;
    const bodilessBytes = connection.bytesRead() - readBefore - bodyBytes;
    if (bodilessBytes <= MAX_HEAD_BYTES + pieces * MAX_BYTES_BESIDE_PIECE) return;
    lose(answer === undefined ? 'headTooLarge' : 'bodyFramingTooLarge');
  };

  /** Reads the events of a chunk, those beyond the share of a turn in later turns. */
  const readEvents = (chunk: Buffer): void => {
    const { events, rest: left } = splitter.push(chunk, share.maxEvents());
    rest = left;
    const isTooLarge = splitter.pendingBytes() > bounds.maxEventBytes;
    share.use(chunk.length - rest.length, events.length);
    if (events.length > 0) {
      startStream();
      if (!settled) listener.onEvents(events);
      if (repeatsEvents(events)) return lose('repeatedEvents');
    }
    if (isTooLarge) return lose('eventTooLarge');
    if (!settled) countBuffered(splitter.pendingBytes());
  };

  const reader = { onReadable: checkBodilessBytes, onEnd: share.end, isPaused: share.isPaused };

  const readRest = (): boolean => {
    if (!settled && rest.length > 0) readEvents(rest);
    return !settled && rest.length === 0;
  };

  const startStream = (): void => {
    if (isStreamStarted) return;
    isStreamStarted = true;
    if (settled || answer === undefined) return;
    listener.onAnswered('success', answer.status, connection.isCloseDelimited);
  };

  const finish = (whole: BackendAnswer, finalVerdict: AnswerVerdict): void => {
    if (isStream()) {
      if (splitter.pendingBytes() > 0) return settle(() => listener.onLost('cutInEvent'));
      // A server that ends closes its connections, which looks like the end of such an answer.
      const isCut = connection.isCloseDelimited && !isStreamStarted && request.isResumed !== true;
      if (isCut) return settle(() => listener.onLost('cutBeforeEvent'));
      startStream();
      return settle(() => listener.onEnded());
    }
    whole.body = body.take();
    const { isCloseDelimited } = connection;
    settle(() => listener.onAnswered(finalVerdict, whole.status, isCloseDelimited));
  };

  /** Ends an attempt that failed: once the client has begun to write the request, it may have run. */
  const failSend = (error: Error): void => {
    settle(() => {
      if (sent) listener.onLost(reasonOf(error));
      else listener.onNotSent(reasonOf(error));
    });
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      share.begin(started);
      sent = true;
      readBefore = connection.bytesRead();
      connection.reader = reader;
    },
    onResponseStart({ rawHeaders: received }, status, _headers, statusText) {
      if (settled) return;
      if (isInterim(status)) {
        interimAnswers += 1;
        if (interimAnswers > MAX_INTERIM_ANSWERS) lose('tooManyInterimAnswers');
        return;
      }
      const rawHeaders = textHeaders(received);
      const fault = faultOfAnswerHead({ status, statusText: statusText ?? '', rawHeaders });
      if (fault !== undefined) return rejectAnswer(status);
      const head = { requestId: request.requestId, status, rawHeaders };
      verdict = codec.evaluateAnswer(head);
      connection.isCloseDelimited = !isSelfDelimiting(status, rawHeaders);
      answer = { status, statusText: statusText ?? '', rawHeaders, body: Buffer.alloc(0) };
      const statements = codec.statementsOf(head);
      if (statements !== undefined) listener.onAnswerHead(statements);
      if (verdict === 'invalid') rejectAnswer(status);
      else if (isStream()) listener.onStreamHead();
      else if (request.method !== 'HEAD' && statedLength(rawHeaders) > bounds.maxPlainBytes)
        lose('answerTooLarge');
    },
    onResponseData(_controller, chunk) {
      if (settled) return;
      bodyBytes += chunk.length;
      pieces += 1;
      if (isStream()) return readEvents(chunk);
      share.use(chunk.length, 1);
      body.append(chunk);
      if (body.length() > bounds.maxPlainBytes) return lose('answerTooLarge');
      countBuffered(body.length());
    },
    onResponseEnd() {
      if (settled || answer === undefined || verdict === undefined) return;
      if (!connection.isCloseDelimited) {
        pool.release(connection);
        return finish(answer, verdict);
      }
      const whole = { answer, verdict };
      void (connection.closedCleanly ?? Promise.resolve(false)).then((isClean) => {
        if (isClean && !connection.failed) finish(whole.answer, whole.verdict);
        else settle(() => listener.onLost('resetInAnswer'));
        discardConnection();
      });
    },
    onResponseError(_controller, error) {
      failSend(error);
      discardConnection();
    },
  };

  const { method, path, headers, body: requestBody } = request;
  try {
    connection.client.dispatch(
      {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: requestBody.length === 0 ? null : requestBody,
      },
      handler,
    );
  } catch (error) {
    // The listener knows nothing of this attempt yet, so that it is told afterwards.
    queueMicrotask(() => failSend(error as Error));
  }
  return {
    answer: () => answer,
    isOver: () => settled,
    cancel() {
      settled = true;
      hold.release();
      discardConnection();
    },
    pause: share.hold,
    resume: share.resume,
    checkBodilessBytes,
  };
}

function isInterim(status: number): boolean {
  return status >= 100 && status < 200;
}

function textHeaders(raw: unknown): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) => (Buffer.isBuffer(item) ? item.toString('latin1') : String(item)));
}

/** Log reasons for the error codes of undici, llhttp and the operating system. */
const REASONS: Readonly<Record<string, string>> = {
  // The client does not write such a request, whatever the server.
  UND_ERR_INVALID_ARG: INTERNAL_FAULT_REASON,
  UND_ERR_NOT_SUPPORTED: INTERNAL_FAULT_REASON,
  UND_ERR_SOCKET: 'connectionClosed',
  ECONNRESET: 'connectionReset',
  EPIPE: 'connectionReset',
  ECONNREFUSED: 'connectionRefused',
  UND_ERR_CONNECT_TIMEOUT: 'connectTimeout',
  UND_ERR_RES_CONTENT_LENGTH_MISMATCH: 'answerCutShort',
};

/** Returns the reason for the logs; an unknown code is returned unchanged. */
function reasonOf(error: Error): string {
  const { code } = error as Error & { code?: string };
  if (code?.startsWith('HPE_') === true) return 'unreadableAnswer';
  return REASONS[code ?? ''] ?? code ?? error.message;
}

/** Returns the length that the head of an answer states, in bytes; 0 if none. */
function statedLength(rawHeaders: readonly string[]): number {
  const at = rawHeaders.findIndex(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  return at < 0 ? 0 : Number(rawHeaders[at + 1]);
}

/** Whether the head of an answer says where its body ends. */
function isSelfDelimiting(status: number, rawHeaders: readonly string[]): boolean {
  if (status === 204 || status === 304) return true;
  return rawHeaders.some((name, index) => {
    const lower = index % 2 === 0 ? name.toLowerCase() : '';
    return lower === 'content-length' || lower === 'transfer-encoding';
  });
}
