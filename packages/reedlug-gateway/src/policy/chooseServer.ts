/**
 * Choice of a backend server: the least expected time to the first event.
 *
 * The time is what the service's sends have shown for what is open at the server
 * and for the prompt parts that it does not keep, more at a server that is slow
 * of late, and small charges for distance and recent failures.
 * Without news of a cache, the server that ranks first for the prompt's last
 * shared part is taken to keep its shared parts, so that all boxes agree.
 */
import { hashString } from 'reedlug-coordination';
import type { RequestFacts } from '../types/request.js';
import type { ServerLoad } from '../types/peer.js';
import type { GatewayState } from '../state.js';
import type { ServerView } from '../types/views.js';
import { countedPeers, type PeerWithMessage } from '../slices/fleet.js';
import { isAnswerWanted, isEligible, isLimited } from '../slices/statements/eligibility.js';
import { modelOf } from '../slices/engineModels.js';
import { highestRanked } from './highestRanked.js';
import { addLoads, tokensAhead } from './serverLoad.js';
import { expectedWaitMs, type EngineModel, type SendConditions } from './engineModel.js';
import { failureScore, slownessNow, SUSPECT_SCORE } from './serverHealth.js';
import { silenceChargeMs } from './serverSilence.js';

/** Charge for a server in another zone, in ms: a round trip, and bytes between zones are paid for. */
const OTHER_ZONE_MS = 4;
/** Charge for each recent failure, in ms: a failed send costs about a request's time. */
const FAILURE_MS = 60;
/** Charge for a server whose registry entry has lapsed, in ms: another is better while there is one. */
const LAPSED_MS = 300;
/** What an answer of a server is worth whose limit may have ended, in ms: with it all boxes use the server again. */
const ANSWER_MS = 200;
/** Time for which a prompt part is taken to stay in an engine's cache, in ms. */
const PART_KEPT_MS = 30_000;

/** Servers up to which all are compared: a choice among twelve takes some tens of microseconds. */
const COMPARED_WHOLE = 12;
/** Servers drawn for a request among many, besides its home: more bring little over two, and spread less. */
const DRAWN_SERVERS = 4;

/** A chosen server with the figures that decided it. */
export interface Choice {
  view: ServerView;
  costMs: number;
  /** Prompt tokens that it is expected to read. */
  prefillTokens: number;
  /** What the expectation rests on. */
  conditions: SendConditions;
  /** Expected time to the first event, without charges. */
  expectedMs: number;
}

/** The best server for a request, or undefined when none may take it. */
export function chooseServer(
  state: GatewayState,
  params: {
    service: string;
    facts: RequestFacts;
    /** 0 to 9; prompts of less urgent requests are read after it. */
    urgency: number;
    avoid: ReadonlySet<string>;
    /** True once a send of the request found no connection. */
    staysInZone?: boolean;
    /** Servers that the request may go to by their version; all when left out. */
    admits?: (view: ServerView) => boolean;
    /** Set for a request that may crash its server: the hash by which all boxes send it to one place. */
    trialHash?: number | undefined;
    nowMs: number;
  },
): Choice | undefined {
  const { service, facts, urgency, avoid, staysInZone = false, admits, trialHash, nowMs } = params;
  const open: ServerView[] = [];
  for (const view of state.servers.values()) {
    const { entry } = view;
    if (entry.service !== service || avoid.has(entry.id)) continue;
    if (!isEligible(state, view, nowMs)) continue;
    if (admits === undefined || admits(view)) open.push(view);
  }
  const sound = open.filter((view) => failureScore(view, nowMs) < SUSPECT_SCORE);
  const candidates = reachable(state, sound.length > 0 ? sound : open, staysInZone);
  // Most of the time no server names a limit, and there may be thousands.
  const isAnyLimited = state.statements.size > 0;
  const limited = new Set(
    isAnyLimited ? candidates.filter((view) => isLimited(view, nowMs)) : undefined,
  );
  const preferredId = preferredServerId(candidates, limited, facts);
  const peers = countedPeers(state, nowMs);
  const model = modelOf(state, service, nowMs);
  let best: Choice | undefined;
  const considered =
    trialHash === undefined
      ? compared(candidates, {
          facts,
          preferredId,
          answerWanted: [...limited].find((view) => isAnswerWanted(view, nowMs)),
        })
      : highestRanked(candidates, trialHash, 1);
  for (const view of considered) {
    const choice = weigh(state, {
      view,
      load: totalLoad(view, peers),
      model,
      facts,
      urgency,
      isPreferred: view.entry.id === preferredId,
      nowMs,
    });
    if (best === undefined || choice.costMs < best.costMs) best = choice;
  }
  return best;
}

/**
 * The servers that a connection is likely to be had to: those of zones that are
 * heard, and those of this box's own zone once a send found no connection. A zone
 * that is cut off has a few servers in many of its own, so that three tries among all of
 * them would refuse most of its callers.
 */
function reachable(
  state: GatewayState,
  candidates: readonly ServerView[],
  staysInZone: boolean,
): readonly ServerView[] {
  const { silentZones, settings } = state;
  if (!staysInZone && silentZones.size === 0) return candidates;
  const likely = candidates.filter(
    ({ entry }) =>
      entry.zone === settings.box.zone || !(staysInZone || silentZones.has(entry.zone)),
  );
  return likely.length > 0 ? likely : candidates;
}

/**
 * The servers whose loads are compared. All boxes see the same loads, which are
 * some tenths of a second old: if each compared all of many servers, all would
 * send to the same one until the next news. So each request has a few of its own.
 */
function compared(
  candidates: readonly ServerView[],
  params: {
    facts: RequestFacts;
    preferredId: string | undefined;
    answerWanted: ServerView | undefined;
  },
): readonly ServerView[] {
  if (candidates.length <= COMPARED_WHOLE) return candidates;
  const { facts, preferredId, answerWanted } = params;
  const keyHash = hashString(facts.requestId);
  const drawn = highestRanked(candidates, keyHash, DRAWN_SERVERS);
  const preferred = candidates.find(({ entry }) => entry.id === preferredId);
  return [...new Set([preferred, answerWanted, ...drawn])].filter((view) => view !== undefined);
}

function weigh(
  state: GatewayState,
  params: {
    view: ServerView;
    load: ServerLoad;
    model: EngineModel;
    facts: RequestFacts;
    urgency: number;
    isPreferred: boolean;
    nowMs: number;
  },
): Choice {
  const { view, load, model, facts, urgency, isPreferred, nowMs } = params;
  const prefillTokens = tokensToRead(view, facts, isPreferred, nowMs);
  const tokens = tokensAhead(load, urgency) + prefillTokens;
  const { running, unread = 0 } = load;
  const conditions = { tokens, running, unread, slots: view.entry.slots };
  const expectedMs = expectedWaitMs(model, conditions);
  const waitMs = expectedMs * slownessNow(view, nowMs) + silenceChargeMs(view, expectedMs, nowMs);
  const zoneMs = view.entry.zone === state.settings.box.zone ? 0 : OTHER_ZONE_MS;
  const failureMs = failureScore(view, nowMs) * FAILURE_MS;
  const lapsedMs = view.expiresAtMs === undefined ? 0 : LAPSED_MS;
  const answerMs = isAnswerWanted(view, nowMs) ? ANSWER_MS : 0;
  const costMs = waitMs + zoneMs + failureMs + lapsedMs - answerMs;
  return { view, prefillTokens, conditions, expectedMs, costMs };
}

/** Open work at a server: this box's own and what peers last told. */
function totalLoad(view: ServerView, peers: readonly PeerWithMessage[]): ServerLoad {
  let total: ServerLoad = view;
  for (const peer of peers) {
    const load = peer.message.loads[view.entry.id];
    if (load !== undefined) total = addLoads(total, load);
  }
  return total;
}

function tokensToRead(
  view: ServerView,
  facts: RequestFacts,
  isPreferred: boolean,
  nowMs: number,
): number {
  const total = facts.promptTokens ?? 0;
  let kept = 0;
  for (const part of facts.promptParts.slice(0, -1)) {
    const usedAtMs = view.cachedParts.get(part.id);
    const isKept = isPreferred || (usedAtMs !== undefined && nowMs - usedAtMs < PART_KEPT_MS);
    if (!isKept) break;
    kept += part.tokens;
  }
  return Math.max(0, total - kept);
}

/**
 * The server that ranks first for the prompt's last shared part. One that names a limit is
 * home to nothing: it takes too few, and not all boxes may send to it.
 */
function preferredServerId(
  candidates: readonly ServerView[],
  limited: ReadonlySet<ServerView>,
  facts: RequestFacts,
): string | undefined {
  const subject = facts.promptParts.at(-2);
  if (subject === undefined) return undefined;
  const free = limited.size === 0 ? candidates : candidates.filter((view) => !limited.has(view));
  return highestRanked(free, hashString(subject.id), 1)[0]?.entry.id;
}

/** Notes that a server has read a request's prompt. */
export function notePartsRead(view: ServerView, facts: RequestFacts, nowMs: number): void {
  for (const part of facts.promptParts) {
    view.cachedParts.delete(part.id);
    view.cachedParts.set(part.id, nowMs);
  }
  for (const [id, usedAtMs] of view.cachedParts) {
    if (nowMs - usedAtMs < PART_KEPT_MS) return;
    view.cachedParts.delete(id);
  }
}
