/**
 * Measures how the cost of control traffic grows with the size of the fleet: processor time, bytes
 * and memory of one box at several sizes, with the real reducer and the real codec.
 */
import {
  createBoxState,
  createInvariantMemory,
  DEFAULT_CONTROL,
  DEFAULT_POLICY,
  reduceChecked,
  workspaceView,
  type BoxState,
  type DecisionSettings,
  type Effect,
  type EventBody,
  type PeerMessage,
  type RequestSpec,
  type ServerSpec,
} from 'reedlug-decisions';
import { encodeFrame, encodeFrameCached } from '../peers/frames.js';

/** A size of the fleet, with the intervals of its heartbeats. */
interface FleetSize {
  heartbeatMs: number;
  demandsEveryHeartbeats: number;
  boxes: number;
  engines: number;
  zones: number;
  sites: number;
}

const DEFAULT_HEARTBEATS = { heartbeatMs: 1000, demandsEveryHeartbeats: 5 } as const;
/** Slower heartbeats for the largest fleet, as set in docs/CAPACITY.md. */
const SLOW_HEARTBEATS = { heartbeatMs: 2000, demandsEveryHeartbeats: 10 } as const;

const SIZES: readonly FleetSize[] = [
  { ...DEFAULT_HEARTBEATS, boxes: 6, engines: 9, zones: 3, sites: 1 },
  { ...DEFAULT_HEARTBEATS, boxes: 24, engines: 860, zones: 3, sites: 1 },
  { ...DEFAULT_HEARTBEATS, boxes: 55, engines: 2000, zones: 3, sites: 1 },
  { ...DEFAULT_HEARTBEATS, boxes: 165, engines: 6000, zones: 7, sites: 3 },
  { ...DEFAULT_HEARTBEATS, boxes: 330, engines: 12_000, zones: 14, sites: 6 },
  { ...SLOW_HEARTBEATS, boxes: 330, engines: 12_000, zones: 14, sites: 6 },
];
const VIRTUAL_SECONDS = 20;
const TICKS_PER_SECOND = 50;
const BUSY_WORKSPACES = 20;
const REQUESTS = 3000;
const DELTAS = 2000;

function fleetSettings(size: FleetSize): DecisionSettings {
  const zones = Array.from({ length: size.zones }, (_, index) => ({
    name: `zone-${index}`,
    site: `site-${index % size.sites}`,
  }));
  const zoneOf = (index: number): string => `zone-${index % size.zones}`;
  const servers = Array.from({ length: size.engines }, (_, index): ServerSpec => ({
    id: `engine-${index}`,
    kind: 'engine',
    zone: zoneOf(index),
    pool: 'model',
    version: 'v1',
    slots: 24,
    machineClass: 'standard',
    reclaimable: index % 2 === 0,
    checksFence: true,
    address: `http://10.0.${index >> 8}.${index & 255}:8000`,
  }));
  return {
    boxId: 'box-0',
    zone: 'zone-0',
    incarnation: 1,
    zones,
    boxes: Array.from({ length: size.boxes }, (_, index) => ({
      id: `box-${index}`,
      zone: zoneOf(index),
      peerAddress: `10.1.${index >> 8}.${index & 255}:7080`,
    })),
    servers,
    offers: [],
    pools: [],
    workspaces: Array.from({ length: BUSY_WORKSPACES }, (_, index) => ({
      id: `workspace-${index}`,
      requestsPerSecond: 1e6,
      burst: 1e6,
      maxQueued: 1e6,
    })),
    deduplicatingServices: [],
    policy: DEFAULT_POLICY,
    control: {
      ...DEFAULT_CONTROL,
      heartbeatMs: size.heartbeatMs,
      suspectAfterMs: size.heartbeatMs * 3,
      deadAfterMs: size.heartbeatMs * 10,
      demandsEveryHeartbeats: size.demandsEveryHeartbeats,
    },
  };
}

interface Box {
  state: BoxState;
  send: (nowMs: number, event: EventBody) => Effect[];
}

function createBox(settings: DecisionSettings): Box {
  const state = createBoxState({ settings, seed: 1, nowMs: 0 });
  const memory = createInvariantMemory();
  return { state, send: (nowMs, event) => reduceChecked(memory, state, { ...event, nowMs }) };
}

function heartbeatOf(zone: string, pools: number): PeerMessage {
  return {
    kind: 'heartbeat',
    incarnation: 1_764_000_000_000,
    zone,
    revision: 0,
    draining: false,
    demands: Array.from({ length: BUSY_WORKSPACES }, (_, index) => ({
      workspaceId: `workspace-${index}`,
      requestsPerSecond: 1.25 + index,
    })),
    poolLoads: Array.from({ length: pools }, () => ({
      pool: 'model',
      zone,
      engines: 36,
      slots: 864,
      busy: 512,
    })),
  };
}

function loadReport(): EventBody & { type: 'serverReported' } {
  return {
    type: 'serverReported',
    serverId: '',
    report: {
      incarnation: 1,
      running: 8,
      waiting: 0,
      model: 'model',
      version: 'v1',
      role: 'serve',
      leaving: false,
      kvUsedShare: 0.9,
      kvHitShare: 0.8,
    },
  };
}

/** Returns the peers that send heartbeats to the box: all of its site, and up to ten of others. */
function heartbeatSenders(settings: DecisionSettings): { id: string; zone: string }[] {
  const siteOf = new Map(settings.zones.map(({ name, site }) => [name, site]));
  const ownSite = siteOf.get(settings.zone);
  const own = settings.boxes.filter(
    ({ id, zone }) => id !== settings.boxId && siteOf.get(zone) === ownSite,
  );
  const others = settings.boxes.filter(({ zone }) => siteOf.get(zone) !== ownSite).slice(0, 10);
  return [...own, ...others];
}

interface ControlCost {
  corePercent: number;
  bytesPerSecond: number;
  messagesPerSecond: number;
  probesPerSecond: number;
}

/** Runs the box for `VIRTUAL_SECONDS` without requests and measures its control traffic. */
function controlCost(box: Box, settings: DecisionSettings, fromSecond: number): ControlCost {
  const senders = heartbeatSenders(settings);
  for (const { id } of settings.workspaces) {
    const view = workspaceView(box.state, id);
    if (view !== undefined) view.demandPerSecond = 1e6;
  }
  let bytes = 0;
  let messages = 0;
  let probes = 0;
  const serverReport = { ...loadReport() };
  const startedMs = performance.now();
  for (let second = fromSecond; second < fromSecond + VIRTUAL_SECONDS; second += 1) {
    const isHeartbeatDue = (second * 1000) % settings.control.heartbeatMs === 0;
    for (const { id, zone } of isHeartbeatDue ? senders : []) {
      const message = heartbeatOf(zone, 1);
      box.send(second * 1000, { type: 'peerMessage', from: id, message });
    }
    for (let tick = 0; tick < TICKS_PER_SECOND; tick += 1) {
      const nowMs = second * 1000 + (tick * 1000) / TICKS_PER_SECOND;
      for (const effect of box.send(nowMs, { type: 'tick', epochMs: nowMs })) {
        if (effect.type === 'sendPeer') {
          bytes += encodeFrameCached(effect.message).length;
          messages += 1;
        }
        if (effect.type !== 'probeServer') continue;
        probes += 1;
        box.send(nowMs, { ...serverReport, serverId: effect.serverId });
      }
    }
  }
  const spentMs = performance.now() - startedMs;
  return {
    corePercent: (spentMs / (VIRTUAL_SECONDS * 1000)) * 100,
    bytesPerSecond: bytes / VIRTUAL_SECONDS,
    messagesPerSecond: messages / VIRTUAL_SECONDS,
    probesPerSecond: probes / VIRTUAL_SECONDS,
  };
}

function request(index: number): RequestSpec {
  return {
    requestId: `r${index}`,
    workspaceId: `workspace-${index % BUSY_WORKSPACES}`,
    requestClass: index % 3 === 0 ? 'urgent' : 'patient',
    kind: 'engine',
    pool: 'model',
    version: '',
    repeatable: true,
    idempotencyKey: undefined,
    digest: '',
    deadlineAtMs: 1e9,
    affinityHash: (index * 2_654_435_761) >>> 0,
    promptTokens: 2000,
    maxTokens: 300,
  };
}

/** Measures the processing time of a request with 38 token events, in microseconds. */
function requestCost(box: Box): number {
  const TOKEN_EVENTS = 38;
  const nowMs = (VIRTUAL_SECONDS * 2 + 1) * 1000;
  const startedMs = performance.now();
  for (let index = 0; index < REQUESTS; index += 1) {
    const effects = box.send(nowMs, { type: 'requestArrived', spec: request(index) });
    const sent = effects.find((effect) => effect.type === 'sendAttempt');
    if (sent?.type !== 'sendAttempt') continue;
    const { attemptId } = sent;
    for (let offset = 0; offset < TOKEN_EVENTS; offset += 1) {
      box.send(nowMs, { type: 'attemptProgress', attemptId, offset, tokens: ['x'] });
    }
    const ended = { type: 'attemptEnded', attemptId, totalTokens: TOKEN_EVENTS } as const;
    box.send(nowMs, { ...ended, cachedTokens: 1500, report: undefined });
  }
  return ((performance.now() - startedMs) / REQUESTS) * 1000;
}

/** Measures the processing time and the encoded size of one configuration change. */
function deltaCost(box: Box): { microseconds: number; bytes: number } {
  const first = box.state.config.revision + 1;
  const messages = Array.from({ length: DELTAS }, (_, index): PeerMessage => {
    const revision = first + index;
    const value = { id: `workspace-${index}`, requestsPerSecond: 10, burst: 20, maxQueued: 100 };
    const changes = [{ name: `workspace/workspace-${index}`, value }];
    const planId = `0e9d3f52-1f6c-4f5e-9df4-${String(index).padStart(12, '0')}`;
    const deltas = [{ revision, planId, author: 'operator-1', changes }];
    return { kind: 'configDeltas', deltas, plans: [] };
  });
  const startedMs = performance.now();
  for (const message of messages) {
    box.send((VIRTUAL_SECONDS * 2 + 2) * 1000, { type: 'peerMessage', from: 'box-1', message });
  }
  const microseconds = ((performance.now() - startedMs) / DELTAS) * 1000;
  const [sample] = messages;
  return { microseconds, bytes: sample === undefined ? 0 : encodeFrame(sample).length };
}

function heapMiB(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1_048_576;
}

function measureSize(size: FleetSize): string {
  const heapBeforeMiB = heapMiB();
  const settings = fleetSettings(size);
  const box = createBox(settings);
  box.send(0, { type: 'tick', epochMs: 0 });
  const serverReport = loadReport();
  for (const { id } of settings.servers) box.send(1, { ...serverReport, serverId: id });
  // Discards the first run, in which the box discovers its peers.
  controlCost(box, settings, 1);
  const control = controlCost(box, settings, VIRTUAL_SECONDS + 1);
  const memory = heapMiB() - heapBeforeMiB;
  const requestMicros = requestCost(box);
  const delta = deltaCost(box);
  const heartbeat = encodeFrame(heartbeatOf('zone-0', 1)).length;
  return [
    `heartbeatMs=${size.heartbeatMs} boxes=${size.boxes} engines=${size.engines} zones=${size.zones} sites=${size.sites}`,
    `controlCorePercent=${control.corePercent.toFixed(2)}`,
    `peerBytesPerSecond=${Math.round(control.bytesPerSecond)}`,
    `peerMessagesPerSecond=${control.messagesPerSecond.toFixed(1)}`,
    `probesPerSecond=${control.probesPerSecond.toFixed(1)}`,
    `stateMiB=${memory.toFixed(1)}`,
    `requestMicros=${requestMicros.toFixed(0)}`,
    `deltaMicros=${delta.microseconds.toFixed(1)} deltaBytes=${delta.bytes}`,
    `heartbeatBytes=${heartbeat}`,
  ].join(' ');
}

// Warms up the JIT compiler with the first size, which is then measured again.
const [smallest] = SIZES;
if (smallest !== undefined) measureSize(smallest);
for (const size of SIZES) process.stdout.write(`${measureSize(size)}\n`);
