/** Test fixtures of a single box, with one route of each kind and two servers for each service. */
import { createGatewayState } from '../../createGatewayState.js';
import type { GatewayState } from '../../state.js';
import { reduce } from '../../reduce.js';
import { DEFAULT_LOAD_SETTINGS, DEFAULT_TUNNEL_SETTINGS } from '../../settings/defaults.js';
import type { Configuration, RouteSpec } from '../../types/configuration.js';
import { LimitUnit, RouteKind } from '../../types/configuration.js';
import type { Effect } from '../../types/effect.js';
import type { EventBody } from '../../types/event.js';
import { GossipScope, type PeerAddress, type PeerMessage } from '../../types/peer.js';
import type { RequestFacts } from '../../types/request.js';
import { ServerState, type ServerEntry } from '../../types/server.js';
import type {
  AnswerStatements,
  ServerStatement,
  IncarnationStatement,
} from '../../types/serverStatement.js';
import type { GatewaySettings } from '../../types/settings.js';
import { StoreFeed, type FeedContact } from '../../types/storeFeed.js';

export const HOST = 'bench.example';
export const KEY = 'key-of-tiger';

/** Statements of an answer whose server states nothing. */
export const NO_STATEMENTS: AnswerStatements = {
  limit: { kind: 'none' },
  isDraining: false,
  pauseMs: undefined,
  rejectionsPerSecond: undefined,
};

export function settings(
  changes: Partial<GatewaySettings['bounds']> = {},
  load: Partial<GatewaySettings['load']> = {},
): GatewaySettings {
  return {
    box: { id: 'box-1', ip: '127.0.0.1', zone: 'zone-a', processorCores: 1 },
    zones: ['zone-a', 'zone-b'],
    listen: {
      callers: { host: '127.0.0.1', port: 0 },
      readiness: { host: '127.0.0.1', port: 0 },
      peersPort: 7000,
      metricsPort: 0,
    },
    seeds: [],
    store: { address: { host: '127.0.0.1', port: 1 } },
    cloud: {
      address: { host: '127.0.0.1', port: 1 },
      reportsUsage: true,
      ordersEngines: true,
    },
    bounds: {
      configurationMs: 2000,
      drainMs: 2000,
      graceMs: 8000,
      retryRatio: 0.2,
      retrySlack: 50,
      limitWindowMs: 8000,
      limitOverShare: 0.1,
      limitSlackUnits: 0,
      exposeShare: 0.1,
      leaseMs: 3000,
      usageWindowMs: 5000,
      usageDueMs: 10_000,
      ...changes,
    },
    load: { ...DEFAULT_LOAD_SETTINGS, ...load },
    tunnels: DEFAULT_TUNNEL_SETTINGS,
  };
}

export function route(changes: Partial<RouteSpec> = {}): RouteSpec {
  return {
    name: 'lookup',
    host: HOST,
    pathPrefix: '/lookup/',
    kind: RouteKind.repeatable,
    timeoutMs: 600,
    targetMs: 100,
    gapTargetMs: undefined,
    priority: 2,
    targets: [{ service: 'records', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    resumable: false,
    ...changes,
  };
}

export function configuration(changes: Partial<Configuration> = {}): Configuration {
  const draft = {
    kind: RouteKind.stream,
    timeoutMs: 8000,
    targetMs: 1200,
    targets: [{ service: 'engines', weight: 1 }],
  };
  return {
    version: 1,
    routes: [
      route(),
      route({
        name: 'notice',
        pathPrefix: '/notice/',
        kind: RouteKind.nonRepeatable,
        maxAttempts: 1,
      }),
      route({ name: 'draft', pathPrefix: '/draft/', ...draft, resumable: true }),
      route({ name: 'review', pathPrefix: '/review/', ...draft, maxAttempts: 1 }),
    ],
    services: [
      { name: 'records', maxConnections: 100, engine: undefined, scaling: undefined },
      {
        name: 'engines',
        maxConnections: 600,
        engine: { slots: 128, kvCapacityTokens: 260_000 },
        scaling: {
          minPerZone: 1,
          maxPerZone: 4,
          bootMs: 4000,
          reclaimablePriceShare: 0.2,
          zonePrices: [
            { zone: 'zone-a', price: 0.9 },
            { zone: 'zone-b', price: 1.1 },
          ],
        },
      },
    ],
    workspaces: [
      {
        name: 'tiger',
        keys: [KEY],
        priority: undefined,
        unit: LimitUnit.tokens,
        plainTokens: 200,
        ratePerSecond: 10_000,
        burst: 10_000,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}

export function server(id: string, changes: Partial<ServerEntry> = {}): ServerEntry {
  return {
    id,
    service: 'records',
    address: { host: '127.0.0.1', port: 1000 },
    zone: 'zone-a',
    slots: 6,
    state: ServerState.ready,
    reclaimable: false,
    leavesInMs: undefined,
    version: undefined,
    ...changes,
  };
}

export function facts(changes: Partial<RequestFacts> = {}): RequestFacts {
  return {
    requestId: 'request-1',
    host: HOST,
    path: '/lookup/7',
    key: KEY,
    deadlineMs: 600,
    promptTokens: undefined,
    maxOutputTokens: undefined,
    promptParts: [],
    lastEventId: undefined,
    digest: 'digest-1',
    ...changes,
  };
}

export function peerMessage(changes: Partial<PeerMessage> = {}): PeerMessage {
  return {
    kind: 'news',
    boxId: 'box-2',
    incarnation: 1,
    sequence: 1,
    scope: GossipScope.box,
    isProbe: false,
    boxes: 1,
    processorCores: 1,
    zone: 'zone-b',
    host: '127.0.0.2',
    port: 7000,
    configurationVersion: 1,
    serversRevision: 1,
    registry: undefined,
    storeContactAgeMs: undefined,
    leaseHolder: undefined,
    leaving: false,
    loads: {},
    sendSums: {},
    admitted: {},
    usage: {},
    workTokens: 0,
    clockOffsetMs: undefined,
    ...changes,
  };
}

/** Returns the event of a message by which another box announces server statements. */
export function statementsEvent(...statements: IncarnationStatement[]) {
  const message = { kind: 'serverStatements' as const, boxId: 'box-2', statements };
  return { type: 'serverStatements' as const, message };
}

/** Returns a limit statement as announced by another box, with recent times by default. */
export function limitStatement(
  perSecond: number | undefined,
  ages: { sentAgeMs: number; receivedAgeMs: number } = { sentAgeMs: 2, receivedAgeMs: 1 },
): ServerStatement {
  return { kind: 'limit', perSecond, ...ages };
}

/** Returns a pause statement as announced by another box, with the pause requested just now. */
export function pauseStatement(leftMs: number): ServerStatement {
  return { kind: 'rest', leftMs, askedAgeMs: 0, probeAgeMs: undefined, servedAgeMs: undefined };
}

/** Returns the event that the store answered a call of a feed, or did not. */
export function storeContact(reachable: boolean, feed: StoreFeed = StoreFeed.operators): EventBody {
  const contact: FeedContact = reachable
    ? { reachable }
    : { reachable, reason: 'silent', tookMs: 700 };
  return { type: 'storeContact', feed, ...contact };
}

/** A box whose clock is controlled by the test. */
export interface TestBox {
  state: GatewayState;
  nowMs: number;
  wallClockOffsetMs: number;
  /** Feeds an event and returns its effects. */
  take: (event: EventBody) => Effect[];
  /** Advances the clock and feeds a tick at the end. */
  pass: (ms: number) => Effect[];
}

/** Creates a box that has read the row of requests that crash servers, and nothing else. */
export function createBox(boxSettings: GatewaySettings = settings()): TestBox {
  const state = createGatewayState({ settings: boxSettings, incarnation: 1, nowMs: 0 });
  state.crashRow.isFirstReadPending = false;
  const box: TestBox = {
    state,
    nowMs: 0,
    wallClockOffsetMs: 1_000_000,
    take: (event) =>
      reduce(box.state, {
        ...event,
        nowMs: box.nowMs,
        wallClockMs: box.nowMs + box.wallClockOffsetMs,
      }),
    pass(ms) {
      box.nowMs += ms;
      return box.take({ type: 'tick' });
    },
  };
  return box;
}

/** Lets the store answer the box's feeds of the operators' rows and of the registry, or not. */
export function takeContacts(box: TestBox, reachable: boolean): void {
  box.take(storeContact(reachable, StoreFeed.operators));
  box.take(storeContact(reachable, StoreFeed.servers));
}

/** Lists a box and others in the store, all of them with unused limit shares. */
export function listBoxes(box: TestBox, others: readonly PeerAddress[] = []): void {
  listBoxesAfterRestart(box, others);
  box.state.part.opening = { kind: 'unused' };
  box.state.part.hadEarlierLife = false;
}

/** Lists a box and others in the store, with an entry of an earlier incarnation of the box. */
export function listBoxesAfterRestart(box: TestBox, others: readonly PeerAddress[] = []): void {
  const { id: boxId, ip: host, zone, processorCores } = box.state.settings.box;
  const port = box.state.settings.listen.peersPort;
  const own: PeerAddress = { boxId, host, port, zone, processorCores };
  const changes = [own, ...others].map((address) => {
    return { boxId: address.boxId, address, holdsPart: true, revision: 1 };
  });
  box.take({ type: 'peersListed', changes, whole: true, revision: 1 });
}

/** Creates a box with its configuration, four servers and unused, undivided limits. */
export function createServingBox(boxSettings: GatewaySettings = settings()): TestBox {
  const box = createBox(boxSettings);
  listBoxes(box);
  box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
  const entries = [
    server('records-1'),
    server('records-2', { zone: 'zone-b' }),
    server('engine-1', { service: 'engines' }),
    server('engine-2', { service: 'engines', zone: 'zone-b' }),
  ];
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return box;
}

export function ofType<T extends Effect['type']>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }>[] {
  return effects.filter((effect): effect is Extract<Effect, { type: T }> => effect.type === type);
}

/** Returns the only effect of a type; throws if there is none or more than one. */
export function only<T extends Effect['type']>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }> {
  const found = ofType(effects, type);
  if (found.length !== 1) throw new Error(`${found.length} effects of type ${type}`);
  return found[0] as Extract<Effect, { type: T }>;
}
