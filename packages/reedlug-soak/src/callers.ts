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
export const SERVICE_HOST = 'soak.example';

/** What a request asks for. */
export interface CallSpec {
  requestId: string;
  kind: CallKind;
  box: number;
  key: string;
  path: string;
  version?: number;
}

/** Sends requests over connections that stay open. */
export interface Callers {
  call: (spec: CallSpec, target: CallTarget) => Promise<Call>;
  close: () => void;
}

/** Opens the callers. */
export function createCallers(): Callers {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  return {
    call: (spec, target) => send(agent, spec, target),
    close: () => agent.destroy(),
  };
}

function send(agent: Agent, spec: CallSpec, target: CallTarget): Promise<Call> {
  const { requestId, kind, box, key, path, version } = spec;
  const sentAtMs = performance.now();
  const isPost = kind === CallKind.notice || kind === CallKind.draft;
  const headers = {
    Host: SERVICE_HOST,
    Authorization: `Bearer ${key}`,
    'X-Reedlug-Request-Id': requestId,
    'X-Reedlug-Deadline-Ms': String(DEADLINE_MS),
  };
  return new Promise((resolve) => {
    let body = '';
    let status: number | undefined;
    const finish = (isWhole: boolean): void => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      const outcome = { status, body, isWhole, version };
      resolve({ requestId, kind, box, key, sentAtMs, endedAtMs, ...outcome });
    };
    const outgoing = request({
      ...target,
      agent,
      path,
      method: isPost ? 'POST' : 'GET',
      headers,
    });
    const timer = setTimeout(() => outgoing.destroy(), DEADLINE_MS + 500);
    outgoing.on('response', (response) => {
      status = response.statusCode;
      response.setEncoding('utf8');
      response.on('data', (text: string) => (body += text));
      response.on('error', () => undefined);
      response.on('close', () => finish(response.complete));
    });
    outgoing.on('error', () => {
      if (status === undefined) finish(false);
    });
    outgoing.end(isPost ? 'a body of some bytes' : undefined);
  });
}
