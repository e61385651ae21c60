/* global Buffer, clearTimeout, performance, process, setTimeout */
/**
 * A small deployment on loopback for the cases of the review: the project's stand-ins of the store and
 * the cloud, raw servers that a case scripts, and boxes as separate processes, started with the `run`
 * command of the deploy file.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const { startStoreStandin, startCloudStandin } = await import(
  join(ROOT, 'platform/dist/standins/index.js')
);
const { findFreePorts } = await import(join(ROOT, 'packages/reedlug-standins/dist/index.js'));

export const HOST = 'ficu95.example';
export const KEY = 'key-of-the-review';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Keeps the record of a run; the file is written anew. */
export function openRecord(path) {
  const startedAtMs = performance.now();
  writeFileSync(path, '');
  return (text) => {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8);
    appendFileSync(path, `${seconds} ${text}\n`);
  };
}

/** Bounds of the users' small deployments (SYSTEM.md). */
const BOUNDS = {
  configurationMs: 2000,
  drainMs: 2000,
  graceSeconds: 8,
  retryRatio: 0.2,
  retrySlack: 56,
  limitWindowSeconds: 8,
  limitOverShare: 0.1,
  limitSlackUnits: 72000,
  leaseMs: 3000,
  usageWindowSeconds: 5,
  usageDueSeconds: 10,
};

/** The command of the deploy file, split at spaces. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

/** Starts a server on loopback whose answers are written by `onRequest(request, socket)`, byte for byte. */
export async function startRawServer(id, onRequest, host = '127.0.0.1') {
  const sockets = new Set();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        // A box may send an empty line after an answer that ends with its connection.
        while (bytes.length >= 2 && bytes[0] === 13 && bytes[1] === 10) bytes = bytes.subarray(2);
        const end = bytes.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [line, ...fields] = bytes.subarray(0, end).toString('latin1').split('\r\n');
        const headers = {};
        for (const field of fields) {
          const at = field.indexOf(':');
          headers[field.slice(0, at).toLowerCase()] = field.slice(at + 1).trim();
        }
        const length = Number(headers['content-length'] ?? 0);
        if (bytes.length < end + 4 + length) return;
        const body = bytes.subarray(end + 4, end + 4 + length);
        bytes = bytes.subarray(end + 4 + length);
        const [method, path] = line.split(' ');
        onRequest({ method, path, headers, body, id: headers['x-reedlug-request-id'] }, socket);
      }
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/** Writes the operator's configuration, with the fields of PROTOCOL.md. */
export function putConfiguration(
  store,
  { version, routes, keys = [KEY], tenants, idleMs = 15_000 },
) {
  store.put('op', 'config', {
    config_version: version,
    routes: routes.map((route) => ({
      host: HOST,
      timeout_ms: 2000,
      slo_ms: 100,
      priority: 0,
      max_attempts: route.kind === 'non_idempotent' ? 1 : 2,
      public: false,
      can_resume: false,
      name: route.path_prefix,
      ...route,
    })),
    services: [...new Set(routes.map(({ service }) => service))].map((name) => ({
      name,
      max_conns: 110,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: idleMs,
    },
    tenants: tenants ?? [{ name: 'hule930', api_keys: keys, unit: 'tokens', plain_tokens: 200 }],
  });
}

/** Entry of a server as it writes it itself. */
export function serverEntry({
  address,
  service,
  zone = 'zone-a',
  slots = 64,
  state = 'ready',
  ...rest
}) {
  return {
    service,
    address,
    zone,
    config_version: 'v1',
    slots,
    state,
    cold_left_ms: 0,
    sequence: 1,
    ...rest,
  };
}

/** Starts the store, the cloud and the boxes; a proxy may stand before the store of each box. */
export async function startDeployment({
  record,
  boxes: count = 2,
  storeAddressOf,
  store,
  cloud,
  bounds = {},
}) {
  store ??= await startStoreStandin();
  cloud ??= await startCloudStandin();
  const folder = mkdtempSync(join(tmpdir(), 'reedlug-review-'));
  const boxes = [];
  const [callers, readiness, peersPort, metricsPort] = await findFreePorts(4, '127.0.0.11');
  for (let index = 0; index < count; index += 1) {
    const ip = `127.0.0.${11 + index}`;
    const storeAddress = storeAddressOf?.(index) ?? store.address;
    const settings = {
      box: {
        id: `front-${index + 1}`,
        ip,
        zone: index % 2 === 0 ? 'zone-a' : 'zone-b',
        processorShare: 0.675,
        processorSpeed: 1,
      },
      zones: ['zone-a', 'zone-b'],
      listen: {
        callers: `${ip}:${callers}`,
        readiness: `${ip}:${readiness}`,
        peersPort,
        metricsPort,
      },
      seeds: [],
      store: { address: `${storeAddress.host}:${storeAddress.port}` },
      cloud: { address: `${cloud.address.host}:${cloud.address.port}`, duties: ['usageReports'] },
      bounds: { ...BOUNDS, ...bounds },
      load: { restartReserve: true },
    };
    const path = join(folder, `box-${index}.yaml`);
    writeFileSync(path, JSON.stringify(settings)); // JSON is YAML.
    boxes.push(createBox({ id: settings.box.id, ip, callers, readiness, path, folder, record }));
  }
  return {
    store,
    cloud,
    boxes,
    folder,
    async close() {
      for (const box of boxes) await box.end();
      store.close();
      cloud.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function createBox({ id, ip, callers, readiness, path, folder, record }) {
  let child;
  let isEnding = false;
  const logPath = join(folder, `${id}.log`);
  const box = {
    id,
    ip,
    callers: { host: ip, port: callers },
    readiness: { host: ip, port: readiness },
    logPath,
    /** Ends of the process that this test did not bring about. */
    ownEnds: [],
    restarts: true,
    get pid() {
      return child?.pid;
    },
    /** Starts the process; one that ends by itself is started again after a short delay, as the platform does. */
    start() {
      const [program, ...args] = runCommand();
      const { PATH, HOME, LANG } = process.env;
      child = spawn(program, args, {
        cwd: ROOT,
        env: { PATH, HOME, LANG, REEDLUG_BOOT: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const keep = (chunk) => appendFileSync(logPath, chunk);
      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      // What a process says before it ends by itself, once.
      child.stderr.on('data', (chunk) => {
        const [line] = chunk
          .toString()
          .split('\n')
          .filter((text) => /^\w*Error/.test(text));
        if (line !== undefined && box.ownEnds.length < 3) record(`${id} says: ${line}`);
      });
      const started = child;
      started.on('exit', (code, signal) => {
        if (isEnding || started !== child) return;
        box.ownEnds.push({ code, signal });
        record(`${id} ended by itself: code ${code}, signal ${signal}`);
        if (box.restarts) setTimeout(() => !isEnding && box.start(), 500);
      });
      record(`${id} started, process ${child.pid}`);
    },
    signal: (name) => child?.kill(name),
    async end() {
      isEnding = true;
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await ended;
    },
    /** Whether the box says that it is ready. */
    isReady: () =>
      new Promise((resolve) => {
        const request = http.get(
          { host: ip, port: readiness, path: '/ready', agent: false, timeout: 1000 },
          (response) => {
            response.resume();
            resolve(response.statusCode === 200);
          },
        );
        request.on('timeout', () => request.destroy());
        request.on('error', () => resolve(false));
      }),
  };
  return box;
}

/** Waits until all boxes are ready. */
export async function untilReady(boxes, forMs = 15_000) {
  const untilMs = performance.now() + forMs;
  for (;;) {
    const ready = await Promise.all(boxes.map((box) => box.isReady()));
    if (ready.every(Boolean)) return true;
    if (performance.now() > untilMs) return false;
    await sleep(100);
  }
}

let calls = 0;
/**
 * Sends one client attempt and resolves with its outcome: `answer` with status and body, `closed` for a
 * connection that ended without a whole answer, or `silent` if nothing came within `waitMs`.
 */
export function call({
  box,
  path,
  method = 'GET',
  deadlineMs = 2000,
  waitMs = deadlineMs + 1000,
  headers = {},
  body,
  agent = false,
  id,
}) {
  calls += 1;
  const requestId = id ?? `c${process.pid.toString(16)}${calls.toString(16).padStart(8, '0')}`;
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    let isOver = false;
    const end = (outcome) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      resolve({
        id: requestId,
        tookMs: Math.round(performance.now() - startedAtMs),
        reused: request.reusedSocket,
        ...outcome,
      });
    };
    const request = http.request({
      ...box.callers,
      path,
      method,
      agent,
      headers: {
        Host: HOST,
        'X-Reedlug-Request-Id': requestId,
        'X-Reedlug-Deadline-Ms': String(deadlineMs),
        Authorization: `Bearer ${KEY}`,
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      end({ kind: 'silent' });
      request.destroy();
    }, waitMs);
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () =>
        end({
          kind: 'closed',
          status: response.statusCode,
          body: Buffer.concat(chunks).toString(),
        }),
      );
      response.on('end', () => {
        const { statusCode: status, headers: answered } = response;
        const kind = response.complete ? 'answer' : 'closed';
        end({ kind, status, headers: answered, body: Buffer.concat(chunks).toString() });
      });
    });
    request.on('error', (error) => end({ kind: 'closed', reason: error.code ?? error.message }));
    request.end(body);
  });
}
