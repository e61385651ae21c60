/** Sends requests that crash every server that runs them, and checks the guarantee that boxes block them. */
import { createRequest, sendTry } from '../callers/callers.js';
import type { ServerCrash } from '../callers/callerAttempt.js';
import { generateRequest, generateSharedParts, workspaceName } from '../callers/generateRequest.js';
import { crashingRequestOf, recordRequest } from '../report/sceneRecord.js';
import type { SceneClass, SceneFaultSpec } from '../scene/scene.js';
import { restartServer, type VirtualServer } from '../servers/virtualServers.js';
import { isSynchronized, type VirtualBox } from '../boxes/virtualBox.js';
import { PROPAGATION_MS, later, nowMs, nextNumber, type World } from '../world.js';

/** Number of servers that a request crashes before the guarantee applies. */
const MIN_CRASHES = 3;
/** Maximum number of later sends by all synchronized boxes, as guaranteed to the users. */
export const MAX_FURTHER_SENDS = 3;

type CrashingRequestsFault = Extract<SceneFaultSpec, { kind: 'endingRequests' }>;

/** Sends crashing requests, each repeatedly. */
export function sendCrashingRequests(world: World, fault: CrashingRequestsFault): void {
  const spec = world.scene.classes.find(({ name }) => name === fault.class);
  if (spec === undefined) return;
  const untilMs = nowMs(world) + fault.forS * 1000;
  for (let index = 0; index < fault.count; index += 1) {
    const digest = `ending-${nextNumber(world, 'requests')}`;
    const firstInMs = world.random.unit() * fault.everyMs;
    later(world, firstInMs, () => sendRepeatedly(world, { fault, spec, digest, untilMs }));
  }
}

function sendRepeatedly(
  world: World,
  series: { fault: CrashingRequestsFault; spec: SceneClass; digest: string; untilMs: number },
): void {
  const { fault, spec, digest, untilMs } = series;
  if (nowMs(world) >= untilMs) return;
  for (let copy = 0; copy < fault.copies; copy += 1) sendOne(world, fault, spec, digest);
  later(world, fault.everyMs * (0.5 + world.random.unit()), () => sendRepeatedly(world, series));
}

function sendOne(
  world: World,
  fault: CrashingRequestsFault,
  spec: SceneClass,
  digest: string,
): void {
  const { scene, random } = world;
  const workspace = workspaceName(0);
  const number = nextNumber(world, 'requests');
  const shared = generateSharedParts(scene, random);
  const generated = generateRequest(scene, random, { spec, shared, workspace, number });
  const zone = random.pick(scene.zones);
  const request = createRequest(world, { ...generated, spec, zone, workspace });
  request.facts = { ...request.facts, digest };
  const { runMs, downS, tellsBirth } = fault;
  request.crashesServer = { runMs, downMs: downS * 1000, tellsBirth };
  recordRequest(world, request);
  sendTry(world, request);
}

/** Crashes a server some time after it starts to run such a request. */
export function crashUnder(
  world: World,
  server: VirtualServer,
  digest: string,
  { runMs, downMs, tellsBirth }: ServerCrash,
): void {
  later(world, runMs, () => {
    if (world.servers.get(server.entry.id) !== server) return;
    crashingRequestOf(world, digest).endedAtMs.push(nowMs(world));
    restartServer(world, server, downMs, tellsBirth);
  });
}

/** Records that such a request reached a server, if the guarantee binds the box that sent it. */
export function recordCrashingSend(world: World, box: VirtualBox, digest: string): void {
  if (isSynchronized(world, box)) crashingRequestOf(world, digest).sentAtMs.push(nowMs(world));
}

/** Crashes and later sends of one such request. */
export interface CrashingRequestRow {
  digest: string;
  ended: number;
  furtherSends: number;
}

/** Returns the crashes and later sends of each such request. */
export function crashingRequestRows(world: World): CrashingRequestRow[] {
  return [...world.record.endings].map(([digest, { endedAtMs, sentAtMs }]) => {
    const thirdAtMs = endedAtMs[MIN_CRASHES - 1] ?? Number.POSITIVE_INFINITY;
    const furtherSends = sentAtMs.filter((atMs) => atMs > thirdAtMs + PROPAGATION_MS).length;
    return { digest, ended: endedAtMs.length, furtherSends };
  });
}
