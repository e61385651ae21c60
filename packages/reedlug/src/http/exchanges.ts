/** The three ways to answer a caller: one JSON body, an event stream, a service's answer. */
import type { ServerResponse } from 'node:http';
import { Outcome } from 'reedlug-coordination';
import { Reason } from 'reedlug-decisions';
import type { ServiceAnswer } from '../backends/serviceClient.js';
import type { Exchange, FinishEffect } from '../daemon/exchange.js';
import { errorBody, errorFromFinish, type ApiError } from './apiError.js';
import { ModelForm } from './modelRequest.js';
import { HeaderName } from './requestHeaders.js';

/** Parameters of an exchange that answers a model request. */
export interface ModelExchangeParams {
  response: ServerResponse;
  requestId: string;
  model: string;
  form: ModelForm;
  createdAtSeconds: number;
}

/** Sends an error as JSON. If the headers were already sent, only ends the response. */
export function sendError(
  response: ServerResponse,
  error: ApiError,
  requestId: string | undefined,
): void {
  if (response.headersSent || response.destroyed) {
    response.end();
    return;
  }
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [HeaderName.outcome]: error.outcome,
  };
  if (requestId !== undefined) headers[HeaderName.requestId] = requestId;
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterMs / 1000));
  }
  response.writeHead(error.status, headers);
  response.end(errorBody(error, requestId));
}

/** Sends a value as JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(value));
}

function usageOf(finish: FinishEffect): Record<string, unknown> {
  return {
    prompt_tokens: finish.promptTokens,
    completion_tokens: finish.completionTokens,
    total_tokens: finish.promptTokens + finish.completionTokens,
    prompt_tokens_details: { cached_tokens: finish.cachedTokens },
  };
}

/** Returns an exchange that collects the tokens and sends them in one JSON body. */
export function createJsonExchange(params: ModelExchangeParams): Exchange {
  const { response, requestId, model, form, createdAtSeconds } = params;
  const parts: string[] = [];
  return {
    onTokens: (_offset, tokens) => void parts.push(...tokens),
    onFinish(finish) {
      if (finish.outcome !== Outcome.completed) {
        sendError(response, errorFromFinish(finish), requestId);
        return;
      }
      const text = parts.join('');
      const choice =
        form === ModelForm.chat
          ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
          : { index: 0, text, finish_reason: 'stop' };
      const body = {
        id: requestId,
        object: form === ModelForm.chat ? 'chat.completion' : 'text_completion',
        created: createdAtSeconds,
        model,
        choices: [choice],
        usage: usageOf(finish),
      };
      sendJson(response, 200, body, {
        [HeaderName.requestId]: requestId,
        [HeaderName.outcome]: finish.outcome,
      });
    },
  };
}

/**
 * Returns an exchange that sends the answer as server-sent events. The id of each event is the
 * token offset after it, which a caller sends as `Last-Event-ID` to resume the stream.
 */
export function createStreamExchange(params: ModelExchangeParams): Exchange {
  const { response, requestId, model, form, createdAtSeconds } = params;
  const object = form === ModelForm.chat ? 'chat.completion.chunk' : 'text_completion';
  const base = JSON.stringify({ id: requestId, object, created: createdAtSeconds, model });
  const chunkPrefix = base.slice(0, -1);
  const writeHeadersOnce = (): void => {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      [HeaderName.requestId]: requestId,
    });
  };
  return {
    onTokens(offset, tokens) {
      writeHeadersOnce();
      const text = JSON.stringify(tokens.join(''));
      const contentField =
        form === ModelForm.chat ? `"delta":{"content":${text}}` : `"text":${text}`;
      const choice = `{"index":0,${contentField},"finish_reason":null}`;
      response.write(
        `id: ${offset + tokens.length}\ndata: ${chunkPrefix},"choices":[${choice}]}\n\n`,
      );
    },
    onFinish(finish) {
      if (finish.outcome === Outcome.completed) {
        writeHeadersOnce();
        response.end(finalEvents(chunkPrefix, form, finish));
        return;
      }
      if (!response.headersSent) {
        sendError(response, errorFromFinish(finish), requestId);
        return;
      }
      // `[DONE]` is not sent, so that the caller can tell that the answer is incomplete.
      const event = finish.reason === Reason.handedOver ? 'reconnect' : 'error';
      response.end(`event: ${event}\ndata: ${errorBody(errorFromFinish(finish), requestId)}\n\n`);
    },
  };
}

function finalEvents(chunkPrefix: string, form: ModelForm, finish: FinishEffect): string {
  const emptyContentField = form === ModelForm.chat ? '"delta":{}' : '"text":""';
  const choice = `{"index":0,${emptyContentField},"finish_reason":"stop"}`;
  const usage = JSON.stringify(usageOf(finish));
  const lastChunk = `${chunkPrefix},"choices":[${choice}],"usage":${usage},"outcome":"${finish.outcome}"}`;
  return `data: ${lastChunk}\n\ndata: [DONE]\n\n`;
}

/** Returns an exchange that forwards the answer of a plain service. */
export function createServiceExchange(response: ServerResponse, requestId: string): Exchange {
  return {
    onTokens: () => undefined,
    onFinish(finish, answer) {
      if (finish.outcome !== Outcome.completed) {
        sendError(response, errorFromFinish(finish), requestId);
        return;
      }
      sendServiceAnswer(response, requestId, finish, answer);
    },
  };
}

function sendServiceAnswer(
  response: ServerResponse,
  requestId: string,
  finish: FinishEffect,
  answer: ServiceAnswer | undefined,
): void {
  const ownHeaders = { [HeaderName.requestId]: requestId, [HeaderName.outcome]: finish.outcome };
  if (answer === undefined) {
    // The request ran, but no box stores its answer any more.
    sendJson(
      response,
      200,
      { requestId, outcome: finish.outcome, status: finish.status },
      ownHeaders,
    );
    return;
  }
  response.writeHead(answer.status, { ...answer.headers, ...ownHeaders });
  response.end(answer.body);
}
