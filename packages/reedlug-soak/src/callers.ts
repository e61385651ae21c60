/** Callers on loopback that keep their connections open until the box is gone. */
import { Agent, request } from 'node:http';
import { CallKind, type Call } from './soakRecord.js';

/** Where boxes take requests. */
export interface CallTarget {
  host: string;
  port: number;
}

/** How long a caller waits, in ms. */
const DEADLINE_MS = 3000;
/** Name under which callers reach the routes. */
export const CALLED_HOST = 'soak.example';

/** What a request asks for. */
export interface CallOrder {
  requestId: string;
  kind: CallKind;
  box: number;
  key: string;
  path: string;
  version?: number;
}

/** Sends requests over connections that stay open. */
export interface Callers {
  call: (order: CallOrder, target: CallTarget) => Promise<Call>;
  close: () => void;
}

/** Opens the callers. */
export function openCallers(): Callers {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  return {
    call: (order, target) => send(agent, order, target),
    close: () => agent.destroy(),
  };
}

function send(agent: Agent, order: CallOrder, target: CallTarget): Promise<Call> {
  const { requestId, kind, box, key, path, version } = order;
  const sentAtMs = performance.now();
  const isPost = kind === CallKind.notice || kind === CallKind.draft;
  const headers = {
    Host: CALLED_HOST,
    Authorization: `Bearer ${key}`,
    'X-Reedlug-Request-Id': requestId,
    'X-Reedlug-Deadline-Ms': String(DEADLINE_MS),
  };
  return new Promise((resolve) => {
    let body = '';
    let status: number | undefined;
    const end = (isWhole: boolean): void => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      const seen = { status, body, isWhole, version };
      resolve({ requestId, kind, box, key, sentAtMs, endedAtMs, ...seen });
    };
    const outgoing = request({
      ...target,
      agent,
      path,
      method: isPost ? 'POST' : 'GET',
      headers,
    });
    const timer = setTimeout(() => outgoing.destroy(), DEADLINE_MS + 500);
    outgoing.on('response', (answer) => {
      status = answer.statusCode;
      answer.setEncoding('utf8');
      answer.on('data', (text: string) => (body += text));
      answer.on('error', () => undefined);
      answer.on('close', () => end(answer.complete));
    });
    outgoing.on('error', () => {
      if (status === undefined) end(false);
    });
    outgoing.end(isPost ? 'a body of some bytes' : undefined);
  });
}
