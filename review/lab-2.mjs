/* global Buffer, clearTimeout, performance, process, setTimeout */
/**
 * What the scripts of the second review share: boxes as processes, started with the command of the deploy file and
 * settings filled from its template, on loopback addresses and free ports; the project's own stand-ins of the store and
 * of the platform's interface for duties; a record; the end of all that was started.
 */
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
export const standins = await import(join(ROOT, 'platform/dist/standins/index.js'));

/** Whether the disruption takes place; without it the script has to pass. */
export const TROUBLE = process.env.TROUBLE !== '0';
/** Bounds of a small deployment, as on the sheets of the users' pages. */
export const BOUNDS = {
  config_ms: 2000,
  drain_ms: 2000,
  grace_s: 8,
  budget_ratio: 0.2,
  retry_slack: 56,
  quota_window_s: 8,
  quota_over: 0.1,
  quota_slack: 72000,
  lease_ms: 3000,
  window_s: 5,
  usage_late_s: 10,
};
export const CONTACT_MS = 3000;
export const HOST = 'ficu95.example';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAtMs = performance.now();
export const nowMs = () => Math.round(performance.now() - startedAtMs);

/** Opens the record of a case; each line has the time since the start, in ms. */
export function openRecord(folder) {
  const path = join(folder, 'record.txt');
  writeFileSync(path, `TROUBLE=${TROUBLE ? 1 : 0}\n`);
  return (text) => appendFileSync(path, `${String(nowMs()).padStart(6)} ${text}\n`);
}

/** Fills the project's template of a box's settings, as far as the template uses the users' gaps. */
function fill(template, fields) {
  const valueOf = (path, from) => path.split('.').reduce((value, name) => value?.[name], from);
  const withSections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}\n?/g,
    (_all, path, body) => {
      const value = valueOf(path, fields);
      if (value === undefined || value === false) return '';
      if (typeof value !== 'object') return body.replace(/^\n/, '');
      const keys = Object.keys(value);
      return keys
        .map((key, at) =>
          body.replaceAll('{{@}}', key).replaceAll('{{,}}', at < keys.length - 1 ? ',' : ''),
        )
        .join('');
    },
  );
  return withSections.replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) => {
    const value = valueOf(path, fields);
    return value === undefined ? '' : JSON.stringify(value);
  });
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => {
      const socket = createSocket('udp4');
      socket.once('error', () => server.close(() => resolve(false)));
      socket.bind(port, host, () => socket.close(() => server.close(() => resolve(true))));
    });
  });
}

/** Finds loopback addresses, one for each box, on which all ports of a box are free. */
async function findAddresses(count) {
  for (let tries = 0; tries < 50; tries += 1) {
    const block = 1 + Math.floor(Math.random() * 250);
    const port = 20_000 + Math.floor(Math.random() * 20_000);
    const hosts = Array.from({ length: count }, (_, at) => `127.41.${block}.${at + 1}`);
    const checks = hosts.flatMap((host) =>
      [port, port + 3, port + 8, 9464].map((p) => isFree(host, p)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return { hosts, port };
  }
  throw new Error('no free ports');
}

const zones = ['zone-a', 'zone-b', 'zone-c'];
const processes = new Set();
const folder = mkdtempSync(join(tmpdir(), 'review-'));

/** A box: its process, which can be ended and started again, and where callers reach it. */
export class Box {
  constructor({ id, host, port, zone, fields }) {
    Object.assign(this, { id, host, port, zone, lines: [], startedAtMs: 0, ends: [] });
    this.settings = join(folder, `${id}.yaml`);
    const template = readFileSync(join(ROOT, 'deploy/box.yaml.template'), 'utf8');
    writeFileSync(this.settings, fill(template, fields));
  }

  start() {
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1];
    const [program, ...words] = run.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, REEDLUG_BOOT: this.settings };
    const child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    processes.add(child);
    this.process = child;
    this.startedAtMs = nowMs();
    for (const stream of [child.stdout, child.stderr]) {
      let rest = '';
      stream.setEncoding('utf8');
      stream.on('data', (text) => {
        const lines = (rest + text).split('\n');
        rest = lines.pop();
        this.lines.push(...lines);
      });
    }
    child.once('exit', (code, signal) => {
      processes.delete(child);
      this.ends.push({ atMs: nowMs(), code, signal });
    });
  }

  async isReady() {
    return (
      (await call({ host: this.host, port: this.port + 3, path: '/ready', timeoutMs: 500 }))
        .status === 200
    );
  }
}

/** Starts the platform's stand-ins and makes the boxes; the boxes are started by the caller. */
export async function openDeployment({ boxes: count, storeOf }) {
  const store = await standins.startStoreStandin();
  const cloud = await standins.startCloudStandin();
  const { hosts, port } = await findAddresses(count);
  const boxes = hosts.map((host, at) => {
    const zone = zones[at % zones.length];
    const id = `front-${zone}-${Math.floor(at / zones.length) + 1}`;
    const storeAddress = storeOf === undefined ? store.address : storeOf(at, store.address);
    const fields = {
      node: id,
      ip: host,
      zone,
      limits: { cpu_share: 0.675, cores: 1 },
      zones: Object.fromEntries(zones.map((name) => [name, 'region'])),
      bind: { front: `${host}:${port}`, ready: `${host}:${port + 3}` },
      ephemeral_ports: [port + 8],
      seeds: hosts.slice(0, 3).map((seed) => `${seed}:${port + 8}`),
      platform: { address: `${storeAddress.host}:${storeAddress.port}` },
      cloud: {
        address: `${cloud.address.host}:${cloud.address.port}`,
        duties: ['metering', 'autoscale'],
      },
      bounds: BOUNDS,
    };
    return new Box({ id, host, port, zone, fields });
  });
  return { store, cloud, boxes };
}

/** Starts all boxes and resolves once they are ready. */
export async function startAll(boxes) {
  for (const box of boxes) box.start();
  for (let tries = 0; tries < 100; tries += 1) {
    if ((await Promise.all(boxes.map((box) => box.isReady()))).every(Boolean)) return;
    await sleep(100);
  }
  throw new Error('the boxes were not ready within 10 s');
}

let callCount = 0;
export const newRequestId = () => `${process.pid.toString(16)}-${(callCount += 1).toString(16)}`;

/**
 * Sends one request on a new connection. Resolves with the status (0 without an answer), the head, the body, and whether
 * the answer is complete. `leaveAfterMs`: the caller closes its connection then.
 */
export function call({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body = '',
  timeoutMs = 3000,
  leaveAfterMs,
  onData,
}) {
  return new Promise((resolve) => {
    const socket = connect(port, host);
    let text = '';
    let isOver = false;
    const end = (how) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      socket.destroy();
      resolve({ how, ...readAnswer(text) });
    };
    const timer = setTimeout(() => end('timeout'), timeoutMs);
    const lines = Object.entries({ Host: HOST, ...headers }).map(
      ([name, value]) => `${name}: ${value}`,
    );
    if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    socket.write(
      `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\nConnection: close\r\n\r\n${body}`,
    );
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      onData?.(text);
    });
    socket.on('error', (error) => end(error.code));
    socket.on('end', () => end('end'));
    socket.on('close', () => end('close'));
    if (leaveAfterMs !== undefined) setTimeout(() => end('left'), leaveAfterMs);
  });
}

function readAnswer(text) {
  const at = text.indexOf('\r\n\r\n');
  if (at < 0) return { status: 0, head: '', body: '', isComplete: false };
  const head = text.slice(0, at);
  const rest = text.slice(at + 4);
  const status = Number(head.slice(9, 12));
  if (!/^transfer-encoding: *chunked/im.test(head)) {
    const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? rest.length);
    return { status, head, body: rest.slice(0, length), isComplete: rest.length >= length };
  }
  let body = '';
  let left = rest;
  for (;;) {
    const end = left.indexOf('\r\n');
    if (end < 0) return { status, head, body, isComplete: false };
    const size = Number.parseInt(left.slice(0, end), 16);
    if (size === 0) return { status, head, body, isComplete: true };
    body += left.slice(end + 2, end + 2 + size);
    if (left.length < end + 4 + size) return { status, head, body, isComplete: false };
    left = left.slice(end + 4 + size);
  }
}

/** Runs a case: it exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(play) {
  const limit = setTimeout(() => finish(2, 'the case took too long'), 115_000);
  const finish = (code, text) => {
    clearTimeout(limit);
    for (const child of processes) child.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  try {
    const { isBroken, text } = await play();
    finish(isBroken ? 1 : 0, text);
  } catch (error) {
    finish(2, `could not run: ${error.stack}`);
  }
}
