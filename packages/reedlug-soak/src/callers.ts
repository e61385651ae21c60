/** Sends requests to boxes on loopback and keeps connections alive until the box closes them. */
import { Agent, request } from 'node:http';
import { CallKind, type Call } from './soakRecord.js';

/** Address on which a box accepts requests. */
export interface CallTarget {
  host: string;
  port: number;
}

/** Deadline that callers send with each request, in ms. */
const DEADLINE_MS = 3000;
/** Time after its deadline at which a caller gives up, in ms. */
const GIVE_UP_AFTER_MS = 500;
/** Host name of the configured routes. */
export const SERVICE_HOST = 'soak.example';

/** Parameters of a request. */
export interface CallSpec {
  requestId: string;
  kind: CallKind;
  box: number;
  key: string;
  path: string;
  version?: number;
  /** Time after which the caller leaves unless an answer has begun, in ms; by default long after its deadline. */
  patienceMs?: number | undefined;
}

/** Sends requests over keep-alive connections. */
export interface Callers {
  call: (spec: CallSpec, target: CallTarget) => Promise<Call>;
  close: () => void;
}

/** Creates callers that share one pool of connections. */
export function createCallers(): Callers {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  return {
    call: (spec, target) => send(agent, spec, target),
    close: () => agent.destroy(),
  };
}

function send(agent: Agent, spec: CallSpec, target: CallTarget): Promise<Call> {
  const { requestId, kind, box, key, path, version, patienceMs } = spec;
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
    let leftAtMs: number | undefined;
    const finish = (isWhole: boolean): void => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      const outcome = { status, body, isWhole, version };
      const left = leftAtMs === undefined ? {} : { leftAtMs };
      resolve({ requestId, kind, box, key, sentAtMs, endedAtMs, ...outcome, ...left });
    };
    const outgoing = request({
      ...target,
      agent,
      path,
      method: isPost ? 'POST' : 'GET',
      headers,
    });
    // What has arrived meanwhile is read first, as this process may have stood still.
    const leave = (): void => {
      if (patienceMs !== undefined) {
        if (status !== undefined) return;
        leftAtMs = performance.now();
      }
      outgoing.destroy();
    };
    const timer = setTimeout(
      () => setImmediate(leave),
      patienceMs ?? DEADLINE_MS + GIVE_UP_AFTER_MS,
    );
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
