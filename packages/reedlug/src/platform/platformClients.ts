/** Clients of the platform's services: table, object store, cloud and box list. */
import type { ConfigSnapshot, TableAnswer, TableOp, TableRow } from 'reedlug-coordination';
import type { CommandResult, BoxListEntry, CloudRequest } from 'reedlug-decisions';
import type { Settings } from '../settings/settingsTypes.js';
import {
  createPlatformServiceClient,
  type PlatformAnswer,
  type PlatformServiceClient,
} from './platformServiceClient.js';

/** Notice of the cloud that it will reclaim a box. */
export interface ReclaimNotice {
  /** Increases with each notice. */
  sequence: number;
  boxId: string;
  incarnation: number;
  /** Time until the box is reclaimed, in ms. */
  leavesInMs: number;
}

/** Operations of the platform that the entry daemon uses. */
export interface PlatformClients {
  table: (op: TableOp) => Promise<TableAnswer>;
  cloud: (request: CloudRequest) => Promise<CommandResult>;
  boxList: () => Promise<readonly BoxListEntry[] | undefined>;
  notices: (afterSequence: number) => Promise<readonly ReclaimNotice[]>;
  writeSnapshot: (snapshot: ConfigSnapshot) => Promise<void>;
  readSnapshot: () => Promise<ConfigSnapshot | undefined>;
  close: () => Promise<void>;
}

const SNAPSHOT_PATH = '/v1/objects/config-snapshot';
const STATUS_CONFLICT = 409;

/** Returns clients for the addresses in the settings. */
export function createPlatformClients(
  platform: Settings['platform'],
  isPartitioned: () => boolean,
): PlatformClients {
  const { timeoutMs, requestsPerSecond } = platform;
  const createClient = (url: string): PlatformServiceClient =>
    createPlatformServiceClient({ url, timeoutMs, requestsPerSecond, isPartitioned });
  const table = createClient(platform.tableUrl);
  const objects = createClient(platform.objectStoreUrl);
  const cloud = createClient(platform.cloudUrl);
  const boxes = createClient(platform.boxListUrl);
  const clients = [table, objects, cloud, boxes];
  return {
    table: async (op) =>
      toTableAnswer(
        await table.call<{ rows: TableRow[] }>({ method: 'POST', path: '/v1/table', body: op }),
      ),
    cloud: async (request) =>
      toCommandResult(
        await cloud.call<{ error?: string }>({ method: 'POST', path: '/v1/boxes', body: request }),
      ),
    boxList: async () => {
      const answer = await boxes.call<BoxListEntry[]>({ method: 'GET', path: '/v1/boxes' });
      return answer.kind === 'done' ? answer.body : undefined;
    },
    notices: async (afterSequence) => {
      const path = `/v1/notices?after=${afterSequence}`;
      const answer = await cloud.call<ReclaimNotice[]>({ method: 'GET', path });
      return answer.kind === 'done' ? answer.body : [];
    },
    writeSnapshot: async (snapshot) => {
      await objects.call({ method: 'PUT', path: SNAPSHOT_PATH, body: snapshot });
    },
    readSnapshot: async () => {
      const answer = await objects.call<ConfigSnapshot>({ method: 'GET', path: SNAPSHOT_PATH });
      return answer.kind === 'done' ? answer.body : undefined;
    },
    close: async () => {
      await Promise.all(clients.map((client) => client.close()));
    },
  };
}

function toTableAnswer(answer: PlatformAnswer<{ rows: TableRow[] }>): TableAnswer {
  switch (answer.kind) {
    case 'done':
      return { kind: 'done', rows: answer.body.rows };
    case 'unknown':
      return { kind: 'unknown' };
    case 'refused':
      if (answer.status === STATUS_CONFLICT) {
        return { kind: 'refused', reason: 'conflict', rows: answer.body?.rows ?? [] };
      }
      return { kind: 'refused', reason: 'throttled', rows: [] };
  }
}

function toCommandResult(answer: PlatformAnswer<{ error?: string }>): CommandResult {
  switch (answer.kind) {
    case 'done':
      return { kind: 'done' };
    case 'unknown':
      return { kind: 'unknown' };
    case 'refused':
      return { kind: 'refused', reason: answer.body?.error ?? `status ${answer.status}` };
  }
}
