/**
 * One send of a request to a backend server, and its answer.
 *
 * A plain answer is read whole before anything is told, so that a cut one can
 * be made good by a repeat. A stream is told with its first whole event; what
 * follows is told event by event.
 */
import type { Dispatcher } from 'undici';
import type { HeaderCodec } from '../adapter.js';
import type { AnswerVerdict } from '../types/request.js';
import type { AnswerStatements } from '../types/serverStatement.js';
import type { Connection, ConnectionPool } from './connectionPool.js';
import { createEventSplitter, type StreamEvent } from './eventSplitter.js';

/** Largest plain answer that is read whole, in bytes: well over the users' largest body. */
const MAX_PLAIN_ANSWER_BYTES = 16 * 1024 * 1024;

/** The head of an answer, and its body where it is plain. */
export interface BackendAnswer {
  status: number;
  statusText: string;
  rawHeaders: string[];
  body: Buffer;
}

/** What an attempt tells. */
export interface AttemptListener {
  onNotSent: (reason: string) => void;
  /** The head of an answer of this server to this request came. */
  onAnswerHead: (statements: AnswerStatements) => void;
  onAnswered: (verdict: AnswerVerdict, status: number) => void;
  onEvents: (events: readonly StreamEvent[]) => void;
  onEnded: () => void;
  onLost: (reason: string) => void;
}

/** What is sent. */
export interface AttemptRequest {
  requestId: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
  streaming: boolean;
}

/** A send in progress. */
export interface BackendAttempt {
  /** Complete for a plain answer once answered; for a stream without its body. */
  answer: () => BackendAnswer | undefined;
  /** Ends the connection, so that the server stops; nothing more is told. */
  cancel: () => void;
}

/** Sends a request. */
export function sendAttempt(params: {
  connection: Connection;
  pool: ConnectionPool;
  codec: HeaderCodec;
  request: AttemptRequest;
  listener: AttemptListener;
}): BackendAttempt {
  const { connection, pool, codec, request, listener } = params;
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let bytes = 0;
  let sent = false;
  let settled = false;
  let isStreamStarted = false;
  let verdict: AnswerVerdict | undefined;
  let answer: BackendAnswer | undefined;

  const settle = (report: () => void): void => {
    if (settled) return;
    settled = true;
    report();
  };
  const discardConnection = (): void => pool.discard(connection);
  const isStream = (): boolean => request.streaming && verdict === 'success';

  const startStream = (): void => {
    if (isStreamStarted) return;
    isStreamStarted = true;
    if (!settled && answer !== undefined) listener.onAnswered('success', answer.status);
  };

  const finish = (whole: BackendAnswer, finalVerdict: AnswerVerdict): void => {
    if (isStream()) {
      if (splitter.pendingBytes() > 0) return settle(() => listener.onLost('cutInEvent'));
      startStream();
      return settle(() => listener.onEnded());
    }
    whole.body = Buffer.concat(chunks);
    settle(() => listener.onAnswered(finalVerdict, whole.status));
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart() {
      sent = true;
    },
    onResponseStart(controller, status, _headers, statusText) {
      if (status < 200 || settled) return;
      const rawHeaders = textHeaders(controller.rawHeaders);
      const head = { requestId: request.requestId, status, rawHeaders };
      verdict = codec.evaluateAnswer(head);
      connection.isCloseDelimited = !isSelfDelimiting(status, rawHeaders);
      answer = { status, statusText: statusText ?? '', rawHeaders, body: Buffer.alloc(0) };
      const statements = codec.statementsOf(head);
      if (statements !== undefined) listener.onAnswerHead(statements);
      if (verdict !== 'invalid') return;
      settle(() => listener.onAnswered('invalid', status));
      discardConnection();
    },
    onResponseData(_controller, chunk) {
      if (settled) return;
      if (isStream()) {
        const events = splitter.push(chunk);
        if (events.length === 0) return;
        startStream();
        if (!settled) listener.onEvents(events);
        return;
      }
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= MAX_PLAIN_ANSWER_BYTES) return;
      settle(() => listener.onLost('answerTooLarge'));
      discardConnection();
    },
    onResponseEnd() {
      if (settled || answer === undefined || verdict === undefined) return;
      if (!connection.isCloseDelimited) {
        pool.release(connection);
        return finish(answer, verdict);
      }
      const whole = { answer, verdict };
      void (connection.closedCleanly ?? Promise.resolve(false)).then((isClean) => {
        discardConnection();
        if (isClean && !connection.failed) return finish(whole.answer, whole.verdict);
        settle(() => listener.onLost('resetInAnswer'));
      });
    },
    onResponseError(_controller, error) {
      discardConnection();
      settle(() => {
        if (sent) listener.onLost(reasonOf(error));
        else listener.onNotSent(reasonOf(error));
      });
    },
  };

  const { method, path, headers, body } = request;
  try {
    connection.client.dispatch(
      {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: body.length === 0 ? null : body,
      },
      handler,
    );
  } catch (error) {
    // The request cannot be written as it is; it has not left this box.
    queueMicrotask(() => settle(() => listener.onNotSent(reasonOf(error as Error))));
  }
  return {
    answer: () => answer,
    cancel() {
      settled = true;
      discardConnection();
    },
  };
}

function textHeaders(raw: unknown): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) => (Buffer.isBuffer(item) ? item.toString('latin1') : String(item)));
}

/** What the codes of undici, llhttp and the system mean for a request. */
const REASONS: Readonly<Record<string, string>> = {
  UND_ERR_SOCKET: 'connectionClosed',
  ECONNRESET: 'connectionReset',
  EPIPE: 'connectionReset',
  ECONNREFUSED: 'connectionRefused',
  UND_ERR_CONNECT_TIMEOUT: 'connectTimeout',
  UND_ERR_RES_CONTENT_LENGTH_MISMATCH: 'answerCutShort',
};

/** A reason for the logs; an unknown code stands as it is. */
function reasonOf(error: Error): string {
  const { code } = error as Error & { code?: string };
  if (code?.startsWith('HPE_') === true) return 'unreadableAnswer';
  return REASONS[code ?? ''] ?? code ?? error.message;
}

/** Whether an answer says itself where it ends. */
function isSelfDelimiting(status: number, rawHeaders: readonly string[]): boolean {
  if (status === 204 || status === 304) return true;
  return rawHeaders.some((name, index) => {
    const lower = index % 2 === 0 ? name.toLowerCase() : '';
    return lower === 'content-length' || lower === 'transfer-encoding';
  });
}
