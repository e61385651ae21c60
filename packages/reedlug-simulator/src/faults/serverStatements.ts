/** Servers that say in their answers that they leave, or ask for rest, and what they get after it. */
import type { AnswerStatements } from 'reedlug-gateway';
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { ServerStatementRecord } from '../report/sceneRecord.js';
import type { SceneFaultSpec } from '../scene/scene.js';
import { endServer, restartServer, type VirtualServer } from '../servers/virtualServers.js';
import { PROPAGATION_MS, later, nowMs, type World } from '../world.js';
import { limitStatementOf, recordLimitForwarded } from './limitedServers.js';

/** Time after a box was asked for rest from which requests count, in ms, and how many are allowed then: the users' figures. */
const PAUSE_GRACE_MS = 500;
const MAX_REQUESTS_PER_PAUSE = 2;

type DrainFault = Extract<SceneFaultSpec, { kind: 'leaveServers' }>;
type RefuseFault = Extract<SceneFaultSpec, { kind: 'restServers' }>;

/** Servers say from now on that they leave; their entries say nothing of it. */
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

/** Servers refuse a share of their requests for a while and may ask for rest. */
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

/** What the head of a server's answer says of it. */
export function statementsOf(
  world: World,
  server: VirtualServer,
  isRefusal: boolean,
): AnswerStatements {
  return {
    limit: limitStatementOf(world, server),
    isDraining: server.isDraining,
    pauseMs: isRefusal ? server.refusing?.pauseMs : undefined,
  };
}

/** Notes that a box has taken an answer that says something of its server. */
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

/** Notes a request that reached a server which has said something. */
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

/** What a server got after its words. */
export interface ServerStatementRow {
  server: string;
  /** Requests that count against the users' rule on servers that leave; none is allowed. */
  afterLeaving: number;
  /** The same of all boxes together from the first word on, without any excuse. */
  afterLeavingOfAll: number;
  /** Most requests of one box in one rest that it was asked for, and what is allowed. */
  inRest: number;
  allowedInRest: number;
  /** Most requests of all boxes in a rest, without any excuse. */
  inRestOfAll: number;
}

/** What servers got after their words. */
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

/** A cut excuses a rest that it falls into; a box that starts anew is another one here. */
function isExcused(world: World, fromMs: number, pauseMs: number): boolean {
  return world.partitions.some(
    ({ fromMs: partitionedAtMs, toMs = Infinity }) =>
      partitionedAtMs < fromMs + pauseMs && toMs > fromMs - PROPAGATION_MS,
  );
}
