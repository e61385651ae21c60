/**
 * Servers that announce draining or request a pause in their answers, or leave by the registry alone,
 * and the requests that they receive afterwards.
 */
import { ServerState, type AnswerStatements } from 'reedlug-gateway';
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { ServerStatementRecord } from '../report/sceneRecord.js';
import type { SceneFaultSpec } from '../scene/scene.js';
import { endServer, restartServer } from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { PROPAGATION_MS, later, nowMs, type World } from '../world.js';
import { brittleStatementOf } from './brittleServers.js';
import { limitStatementOf, recordLimitForwarded } from './limitedServers.js';

/**
 * Time after a pause is requested from a box until its requests count, in ms, and how many are
 * allowed then, as guaranteed to the users.
 */
const PAUSE_GRACE_MS = 500;
const MAX_REQUESTS_PER_PAUSE = 2;

type DrainFault = Extract<SceneFaultSpec, { kind: 'leaveServers' }>;
type UnheardLeaveFault = Extract<SceneFaultSpec, { kind: 'leaveUnheard' }>;
type RefuseFault = Extract<SceneFaultSpec, { kind: 'restServers' }>;

/** Makes servers announce in their answers that they drain; their registry entries do not show it. */
export function announceDraining(
  world: World,
  fault: DrainFault,
  servers: readonly VirtualServer[],
): void {
  for (const server of servers) {
    server.isDraining = true;
    recordOf(world, server);
    later(world, fault.endAfterS * 1000, () => {
      if (world.servers.get(server.entry.id) !== server) return;
      if (fault.nextLifeAfterS === undefined) return endServer(world, server);
      restartServer(world, server, fault.nextLifeAfterS * 1000, fault.tellsBirth);
    });
  }
}

/** Writes into the registry that servers leave, while boxes lose answers of its feed. */
export function leaveUnheard(
  world: World,
  fault: UnheardLeaveFault,
  servers: readonly VirtualServer[],
): void {
  world.store.loseRegistryAnswers(() => world.random.chance(fault.boxShare), fault.answers);
  for (const server of servers) {
    server.entry = { ...server.entry, state: ServerState.leaving };
    world.store.putServer(server.entry);
    // The registry tells all boxes, those included that have not read it.
    const { drainingStatedAtMs } = recordOf(world, server);
    for (const box of world.boxes.values()) drainingStatedAtMs.set(box, nowMs(world));
    later(world, fault.endAfterS * 1000, () => endServer(world, server));
  }
}

/** Makes servers refuse a share of their requests for a while; they may request a pause. */
export function refuseRequests(
  world: World,
  fault: RefuseFault,
  servers: readonly VirtualServer[],
): void {
  for (const server of servers) {
    const pauseMs = fault.restS === undefined ? undefined : fault.restS * 1000;
    const refusing = { share: fault.refuseShare, pauseMs };
    server.refusing = refusing;
    recordOf(world, server);
    later(world, fault.forS * 1000, () => {
      if (server.refusing === refusing) server.refusing = undefined;
    });
  }
}

/** Whether a server refuses the request that has just reached it. */
export function refusesRequest(world: World, { refusing }: VirtualServer): boolean {
  return refusing !== undefined && world.random.chance(refusing.share);
}

/** Returns the server statements in the head of an answer. */
export function statementsOf(
  world: World,
  server: VirtualServer,
  isRefusal: boolean,
): AnswerStatements {
  return {
    limit: limitStatementOf(world, server),
    isDraining: server.isDraining,
    pauseMs: isRefusal ? server.refusing?.pauseMs : undefined,
    rejectionsPerSecond: brittleStatementOf(world, server),
  };
}

/** Records that a box has received an answer with server statements. */
export function recordStatements(
  world: World,
  params: { server: VirtualServer; box: VirtualBox; statements: AnswerStatements },
): void {
  const { server, box, statements } = params;
  const { limit, isDraining, pauseMs } = statements;
  if (limit.kind === 'limit') recordLimitForwarded(world, server, box);
  if (isDraining) {
    const { drainingStatedAtMs } = recordOf(world, server);
    if (!drainingStatedAtMs.has(box)) drainingStatedAtMs.set(box, nowMs(world));
  }
  if (pauseMs !== undefined)
    recordOf(world, server).pauses.push({ atMs: nowMs(world), pauseMs, box });
}

/** Records a request that reached a server which makes statements. */
export function recordStatementArrival(
  world: World,
  params: { server: VirtualServer; box: VirtualBox; callerSentAtMs: number },
): void {
  const { server, box, callerSentAtMs } = params;
  const record = world.record.statingServers.get(server);
  record?.arrivals.push({ atMs: nowMs(world), callerSentAtMs, box });
}

function recordOf(world: World, server: VirtualServer): ServerStatementRecord {
  const known = world.record.statingServers.get(server);
  if (known !== undefined) return known;
  const record = { server, drainingStatedAtMs: new Map(), pauses: [], arrivals: [] };
  world.record.statingServers.set(server, record);
  return record;
}

/** Requests that a server received after its statements. */
export interface ServerStatementRow {
  server: string;
  /** Requests that break the guarantee for draining servers; none is allowed. */
  afterLeaving: number;
  /** The same for all boxes, counted from the first statement to any of them. */
  afterLeavingOfAll: number;
  /** Maximum number of requests of one box in a pause that was requested from it, and the number allowed. */
  inRest: number;
  allowedInRest: number;
  /** Maximum number of requests of all boxes in a pause, including those excused by a network partition. */
  inRestOfAll: number;
}

/** Returns the requests that servers received after their statements. */
export function serverStatementRows(world: World): ServerStatementRow[] {
  return [...world.record.statingServers.values()].map((record) => rowOf(world, record));
}

function rowOf(world: World, record: ServerStatementRecord): ServerStatementRow {
  const { server, drainingStatedAtMs, pauses, arrivals } = record;
  const { drainMs } = world.scene.bounds;
  const firstStatedAtMs = Math.min(Infinity, ...drainingStatedAtMs.values());
  const isLate = (sentAtMs: number, statedAtMs: number): boolean => sentAtMs > statedAtMs + drainMs;
  const late = arrivals.filter(({ callerSentAtMs, box }) =>
    isLate(callerSentAtMs, drainingStatedAtMs.get(box) ?? Infinity),
  );
  const lateOfAll = arrivals.filter(({ callerSentAtMs }) =>
    isLate(callerSentAtMs, firstStatedAtMs),
  );
  const pauseCounts = pauses.map((pause) => {
    const inRest = arrivals.filter(
      ({ atMs }) => atMs > pause.atMs + PAUSE_GRACE_MS && atMs < pause.atMs + pause.pauseMs,
    );
    const ofBox = inRest.filter(({ box }) => box === pause.box);
    return {
      ofBox: isExcused(world, pause.atMs, pause.pauseMs) ? 0 : ofBox.length,
      all: inRest.length,
    };
  });
  return {
    server: server.entry.id,
    afterLeaving: late.length,
    afterLeavingOfAll: lateOfAll.length,
    inRest: Math.max(0, ...pauseCounts.map(({ ofBox }) => ofBox)),
    allowedInRest: MAX_REQUESTS_PER_PAUSE,
    inRestOfAll: Math.max(0, ...pauseCounts.map(({ all }) => all)),
  };
}

/**
 * Whether a network partition excuses the requests in a pause. A restarted box counts as another
 * box, so restarts need no excuse.
 */
function isExcused(world: World, fromMs: number, pauseMs: number): boolean {
  return world.partitions.some(
    ({ fromMs: partitionedAtMs, toMs = Infinity }) =>
      partitionedAtMs < fromMs + pauseMs && toMs > fromMs - PROPAGATION_MS,
  );
}
