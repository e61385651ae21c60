/**
 * Sends requests that crash every server that runs them, alike or with one part of their prompts in
 * common, and checks the guarantees that boxes block them and serve all others.
 */
import type { PromptPart } from 'reedlug-gateway';
import { createRequest, sendTry } from '../callers/callerTries.js';
import type { CallerRequest, ServerCrash } from '../callers/callerAttempt.js';
import { generateRequest, generateSharedParts, workspaceName } from '../callers/generateRequest.js';
import type { BrokenGuarantee, CrashingRequestRecord } from '../report/sceneRecord.js';
import { getOrCreate } from '../report/getOrCreate.js';
import { recordRequest } from '../report/requestRecord.js';
import type { SceneClass, SceneFaultSpec } from '../scene/scene.js';
import { restartServer } from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import type { VirtualBox } from '../boxes/virtualBox.js';
import { PROPAGATION_MS, isSynchronized, later, nowMs, nextNumber, type World } from '../world.js';

/** Number of servers that a request, or a part of prompts, crashes before the guarantee applies. */
const MIN_CRASHES_OF_REQUEST = 3;
const MIN_CRASHES_OF_PART = 5;
/** Maximum number of later sends by all synchronized boxes, as guaranteed to the users. */
export const MAX_FURTHER_SENDS = 3;
/** Length of a part that crashes servers, in tokens. */
const CRASHING_PART_TOKENS = 150;
/** Number of requests from which the users compare how often they begin, and their least relative share. */
const MIN_COMPARED = 20;
const MIN_RELATIVE_SHARE = 0.5;

type CrashingRequestsFault = Extract<SceneFaultSpec, { kind: 'endingRequests' }>;

/** Requests with one cause of crashes, sent until a world time. */
interface CrashingSeries {
  fault: CrashingRequestsFault;
  spec: SceneClass;
  cause: string;
  untilMs: number;
}

/** Sends crashing requests, each repeatedly. */
export function sendCrashingRequests(world: World, fault: CrashingRequestsFault): void {
  const spec = world.scene.classes.find(({ name }) => name === fault.class);
  if (spec === undefined) return;
  const untilMs = nowMs(world) + fault.forS * 1000;
  for (let index = 0; index < fault.count; index += 1) {
    const cause = `ending-${nextNumber(world, 'requests')}`;
    if (fault.part !== undefined) {
      crashingRequestOf(world, cause).part = { className: fault.class, untilMs };
    }
    const firstInMs = world.random.unit() * fault.everyMs;
    later(world, firstInMs, () => sendRepeatedly(world, { fault, spec, cause, untilMs }));
  }
}

function sendRepeatedly(world: World, series: CrashingSeries): void {
  const { fault, untilMs } = series;
  if (nowMs(world) >= untilMs) return;
  for (let copy = 0; copy < fault.copies; copy += 1) sendOne(world, series);
  later(world, fault.everyMs * (0.5 + world.random.unit()), () => sendRepeatedly(world, series));
}

function sendOne(world: World, { fault, spec, cause }: CrashingSeries): void {
  const { scene, random } = world;
  const workspace = workspaceName(0);
  const number = nextNumber(world, 'requests');
  const shared = generateSharedParts(scene, random);
  const generated = generateRequest(scene, random, { spec, shared, workspace, number });
  const zone = random.pick(scene.zones);
  const request = createRequest(world, { ...generated, spec, zone, workspace });
  const { runMs, downS, tellsBirth, part } = fault;
  if (part === undefined) request.facts = { ...request.facts, digest: cause };
  else insertPart(request, cause, part);
  request.crashesServer = { cause, runMs, downMs: downS * 1000, tellsBirth };
  recordRequest(world, request);
  sendTry(world, request);
}

/** Adds a part to a prompt, first or right before the request's own. */
function insertPart(
  request: CallerRequest,
  id: string,
  position: NonNullable<CrashingRequestsFault['part']>,
): void {
  const { promptParts, promptTokens = 0 } = request.facts;
  const part: PromptPart = { id, tokens: CRASHING_PART_TOKENS };
  const at = position === 'first' ? 0 : promptParts.length - 1;
  request.facts = {
    ...request.facts,
    promptParts: [...promptParts.slice(0, at), part, ...promptParts.slice(at)],
    promptTokens: promptTokens + CRASHING_PART_TOKENS,
  };
}

/** Returns the record of a request, or a part of prompts, that crashes servers. */
function crashingRequestOf(world: World, cause: string): CrashingRequestRecord {
  return getOrCreate(world.record.endings, cause, () => ({
    endedAtMs: [],
    sentAtMs: [],
    part: undefined,
  }));
}

/** Crashes a server some time after it starts to run such a request. */
export function crashUnder(
  world: World,
  server: VirtualServer,
  { cause, runMs, downMs, tellsBirth }: ServerCrash,
): void {
  later(world, runMs, () => {
    if (world.servers.get(server.entry.id) !== server) return;
    crashingRequestOf(world, cause).endedAtMs.push(nowMs(world));
    restartServer(world, server, downMs, tellsBirth);
  });
}

/** Records that such a request reached a server, if the guarantee binds the box that sent it. */
export function recordCrashingSend(world: World, box: VirtualBox, { cause }: ServerCrash): void {
  const record = crashingRequestOf(world, cause);
  // For a part, the users count no send of a box whose store is not sound.
  if (record.part !== undefined && nowMs(world) < world.storeUnstableUntilMs) return;
  if (isSynchronized(world, box)) record.sentAtMs.push(nowMs(world));
}

/** Crashes and later sends of one such request or part, and how others of its class began. */
export interface CrashingRequestRow {
  /** Digest of the request, or the part. */
  cause: string;
  ended: number;
  furtherSends: number;
  /** Set for a part: the other requests of its class while servers crash, and from the time on by which boxes know the part. */
  others:
    { before: BeginningCounts; after: BeginningCounts; reference: BeginningCounts } | undefined;
}

/** Requests, and those of them whose first try brought an event or an answer. */
export interface BeginningCounts {
  total: number;
  begun: number;
}

/** Returns the crashes and later sends of each such request or part. */
export function crashingRequestRows(world: World): CrashingRequestRow[] {
  return [...world.record.endings].map(([cause, record]) => {
    const { endedAtMs, sentAtMs, part } = record;
    const minCrashes = part === undefined ? MIN_CRASHES_OF_REQUEST : MIN_CRASHES_OF_PART;
    const boundAtMs = (endedAtMs[minCrashes - 1] ?? Number.POSITIVE_INFINITY) + PROPAGATION_MS;
    const furtherSends = sentAtMs.filter((atMs) => atMs > boundAtMs).length;
    return { cause, ended: endedAtMs.length, furtherSends, others: othersOf(world, record) };
  });
}

/** Counts how others began: those of the class, and, as a reference, those of all other classes of its service. */
function othersOf(
  world: World,
  { endedAtMs, part }: CrashingRequestRecord,
): CrashingRequestRow['others'] {
  const firstAtMs = endedAtMs[0];
  if (part === undefined || firstAtMs === undefined) return undefined;
  const decidedAtMs = endedAtMs[MIN_CRASHES_OF_PART - 1] ?? endedAtMs.at(-1) ?? firstAtMs;
  const knownAtMs = decidedAtMs + 2 * PROPAGATION_MS;
  const { service } = world.scene.classes.find(({ name }) => name === part.className) ?? {};
  const countSince = (fromMs: number, toMs: number, isOfClass: boolean): BeginningCounts => {
    const counted = world.record.asked.filter(
      ({ spec, startedAtMs, crashesServer, isFirstTryOverLimit, leavesEarly }) =>
        crashesServer === undefined &&
        spec.service === service &&
        (spec.name === part.className) === isOfClass &&
        startedAtMs >= fromMs &&
        startedAtMs < toMs &&
        !isFirstTryOverLimit &&
        !leavesEarly,
    );
    const begun = counted.filter(({ beganAtFirstTry }) => beganAtFirstTry).length;
    return { total: counted.length, begun };
  };
  return {
    before: countSince(firstAtMs, Math.min(knownAtMs, part.untilMs), true),
    after: countSince(knownAtMs, part.untilMs, true),
    reference: countSince(knownAtMs, part.untilMs, false),
  };
}

/** Returns the guarantees that boxes broke for such requests, and for others of their class. */
export function brokenCrashGuarantees(world: World): BrokenGuarantee[] {
  return crashingRequestRows(world).flatMap(({ cause, ended, furtherSends, others }) => {
    const broken: BrokenGuarantee[] = [];
    if (furtherSends > MAX_FURTHER_SENDS) {
      const detail = `${cause}: ${furtherSends} more, ${ended} servers ended`;
      broken.push({ promise: 'endingRequest', detail });
    }
    if (others === undefined || isServed(others)) return broken;
    const { after, reference } = others;
    const detail = `${cause}: ${after.begun} of ${after.total}, others ${reference.begun} of ${reference.total}`;
    return [...broken, { promise: 'servedBesideEndingRequests', detail }];
  });
}

function isServed({ after, reference }: NonNullable<CrashingRequestRow['others']>): boolean {
  if (after.total < MIN_COMPARED || reference.total < MIN_COMPARED) return true;
  const share = after.begun / after.total;
  return share >= (MIN_RELATIVE_SHARE * reference.begun) / reference.total;
}
