/** A stand-in for the platform's table, object store, cloud, box list and weight store. */
import type { TableOp } from 'reedlug-coordination';
import type { BoxListEntry, CloudRequest } from 'reedlug-decisions';
import { applyTableOp, createTableModel, type TableModel } from '../models/tableModel.js';
import {
  startJsonServer,
  type JsonAnswer,
  type JsonRequest,
  type RunningServer,
} from './jsonServer.js';

/** Fault switches of the platform. */
export interface PlatformFaults {
  tableDown: boolean;
  tableSlowMs: number;
  /** Number of upcoming writes that take effect but whose answers are lost. */
  answersToLose: number;
  refuseStarts: boolean;
  /** Age of the box list that callers get, in ms. */
  listLagMs: number;
}

/** A reclaim notice as the cloud API returns it. */
export interface CloudNotice {
  sequence: number;
  boxId: string;
  incarnation: number;
  leavesAtMs: number;
}

/** A running stand-in platform. */
export interface PlatformServer {
  server: RunningServer;
  table: TableModel;
  faults: PlatformFaults;
  /** Sets the current boxes. The list that callers read lags behind. */
  setBoxes: (entries: readonly BoxListEntry[]) => void;
  notice: (boxId: string, incarnation: number, noticeMs: number) => void;
  onStart: (start: (ask: Extract<CloudRequest, { kind: 'start' }>) => Promise<void>) => void;
  onStop: (stop: (serverId: string) => Promise<void>) => void;
}

interface RunningPlatform {
  table: TableModel;
  objects: Map<string, unknown>;
  faults: PlatformFaults;
  history: { atMs: number; entries: readonly BoxListEntry[] }[];
  notices: CloudNotice[];
  highestFence: number;
  startTokens: Set<string>;
  start: (ask: Extract<CloudRequest, { kind: 'start' }>) => Promise<void>;
  stop: (serverId: string) => Promise<void>;
}

const UNAVAILABLE: JsonAnswer = { status: 503, value: { error: 'down' } };

/** Starts the platform on a loopback port. */
export async function startPlatformServer(
  port: number,
  listLagMs: number,
): Promise<PlatformServer> {
  const running: RunningPlatform = {
    table: createTableModel(),
    objects: new Map(),
    faults: {
      tableDown: false,
      tableSlowMs: 0,
      answersToLose: 0,
      refuseStarts: false,
      listLagMs,
    },
    history: [],
    notices: [],
    highestFence: 0,
    startTokens: new Set(),
    start: async () => undefined,
    stop: async () => undefined,
  };
  const server = await startJsonServer(
    [
      { method: 'POST', path: '/v1/table', handle: (request) => handleTableOp(running, request) },
      {
        method: 'GET',
        path: '/v1/objects/:name',
        handle: ({ params }) => readObject(running, params['name'] ?? ''),
      },
      {
        method: 'PUT',
        path: '/v1/objects/:name',
        handle: ({ params, body }) => writeObject(running, params['name'] ?? '', body),
      },
      { method: 'GET', path: '/v1/boxes', handle: () => listBoxes(running) },
      {
        method: 'POST',
        path: '/v1/boxes',
        handle: ({ body }) => handleCloudRequest(running, body as CloudRequest),
      },
      {
        method: 'GET',
        path: '/v1/notices',
        handle: ({ request }) => listNotices(running, request.url ?? ''),
      },
      {
        method: 'GET',
        path: '/v1/weights/:name',
        handle: ({ params }) => ({ status: 200, value: { name: params['name'] } }),
      },
    ],
    port,
  );
  return {
    server,
    table: running.table,
    faults: running.faults,
    setBoxes: (entries) => {
      running.history.push({ atMs: performance.now(), entries: structuredClone(entries) });
    },
    notice: (boxId, incarnation, noticeMs) => {
      const sequence = running.notices.length + 1;
      const leavesAtMs = performance.now() + noticeMs;
      running.notices.push({ sequence, boxId, incarnation, leavesAtMs });
    },
    onStart: (start) => {
      running.start = start;
    },
    onStop: (stop) => {
      running.stop = stop;
    },
  };
}

async function handleTableOp(
  running: RunningPlatform,
  { body, response }: JsonRequest,
): Promise<JsonAnswer | undefined> {
  const { faults } = running;
  if (faults.tableDown) return UNAVAILABLE;
  if (faults.tableSlowMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, faults.tableSlowMs));
  }
  const op = body as TableOp;
  const answer = applyTableOp(running.table, op);
  if (op.kind === 'transact' && faults.answersToLose > 0) {
    faults.answersToLose -= 1;
    response.destroy();
    return undefined;
  }
  switch (answer.kind) {
    case 'done':
      return { status: 200, value: { rows: answer.rows } };
    case 'refused':
      return { status: 409, value: { rows: answer.rows } };
    case 'unknown':
      return UNAVAILABLE;
  }
}

function readObject(running: RunningPlatform, name: string): JsonAnswer {
  const value = running.objects.get(name);
  return value === undefined ? { status: 404, value: {} } : { status: 200, value };
}

function writeObject(running: RunningPlatform, name: string, body: unknown): JsonAnswer {
  running.objects.set(name, body);
  return { status: 200, value: {} };
}

function listBoxes(running: RunningPlatform): JsonAnswer {
  const asOfMs = performance.now() - running.faults.listLagMs;
  const { history } = running;
  const snapshot = history.findLast((item) => item.atMs <= asOfMs) ?? history[0];
  return { status: 200, value: snapshot?.entries ?? [] };
}

async function handleCloudRequest(
  running: RunningPlatform,
  request: CloudRequest,
): Promise<JsonAnswer> {
  if (request.fence < running.highestFence) return { status: 409, value: { error: 'old fence' } };
  running.highestFence = request.fence;
  if (request.kind === 'stop') {
    await running.stop(request.serverId);
    return { status: 200, value: {} };
  }
  if (running.faults.refuseStarts) return { status: 409, value: { error: 'no capacity' } };
  if (running.startTokens.has(request.startToken)) return { status: 200, value: {} };
  running.startTokens.add(request.startToken);
  await running.start(request);
  return { status: 200, value: {} };
}

function listNotices(running: RunningPlatform, url: string): JsonAnswer {
  const after = Number(new URL(url, 'http://platform').searchParams.get('after') ?? 0);
  const nowMs = performance.now();
  const value = running.notices
    .filter((notice) => notice.sequence > after)
    .map(({ sequence, boxId, incarnation, leavesAtMs }) => ({
      sequence,
      boxId,
      incarnation,
      leavesInMs: leavesAtMs - nowMs,
    }));
  return { status: 200, value };
}
