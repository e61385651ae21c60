/**
 * Chooses the backend server with the lowest expected time to the first event.
 *
 * The estimate comes from the service's fitted model, the work in progress at the server, the
 * prompt parts that its cache lacks, and the server's speed if speeds are learned. A server that
 * was slow recently gets a longer estimate, and distance and recent failures add small costs.
 * Servers do not report the contents of their caches, so the server that ranks first for
 * the prompt's last shared part is assumed to hold the shared parts. All boxes compute the
 * same ranking and therefore agree.
 */
import { hashString } from 'reedlug-coordination';
import type { RequestFacts } from '../types/request.js';
import type { ServerLoad } from '../types/peer.js';
import type { GatewayState } from '../state.js';
import type { ServerView } from '../types/views.js';
import { countedPeers, type PeerWithMessage } from '../slices/peers/fleet.js';
import { placementBasis, type PlacementBasis } from '../slices/placement/servicePlacement.js';
import { rejectionsBorne } from '../slices/statements/brittleServices.js';
import { isLimitRefreshDue, isEligible, isLimited } from '../slices/statements/eligibility.js';
import { modelOf } from '../slices/engines/engineModels.js';
import { speedOf } from '../slices/serverSpeeds/speedOf.js';
import { highestRanked } from './highestRanked.js';
import { placeBySize, type PlacementOutcome, type SizeNeed } from './placeBySize.js';
import { tokensAhead, totalLoad } from './serverLoad.js';
import { expectedWaitMs, type EngineModel, type SendConditions } from './engineModel.js';
import { failureScore, currentSlowness, SUSPECT_SCORE } from './serverHealth.js';
import { silenceCostMs } from './serverSilence.js';

/** Cost of a server in another zone, in ms: a round trip, and traffic between zones is billed. */
const OTHER_ZONE_COST_MS = 4;
/** Cost of each recent failure, in ms: a failed send takes about as long as a request. */
const FAILURE_COST_MS = 60;
/**
 * Cost of a server whose registry entry is missing and about to expire, in ms: it is used only if
 * no other server is left.
 */
const EXPIRING_COST_MS = 300;
/**
 * Bonus for a server whose limit may have ended, in ms: its next answer lets all boxes use it
 * again.
 */
const LIMIT_PROBE_BONUS_MS = 200;
/** Time for which a prompt part is assumed to stay in an engine's cache, in ms. */
const CACHE_RETENTION_MS = 30_000;

/**
 * Maximum number of candidates that are all compared: a choice among twelve takes some tens of
 * microseconds.
 */
const MAX_COMPARED_SERVERS = 12;
/**
 * Number of servers sampled for a request, in addition to the preferred one: more than two add
 * little, and more samples spread the requests less.
 */
const SAMPLED_SERVERS = 4;

/** A chosen server with the figures behind the choice. */
export interface Choice {
  view: ServerView;
  costMs: number;
  /** Prompt tokens that the server is expected to process. */
  prefillTokens: number;
  /** State of the server that the estimate is based on. */
  conditions: SendConditions;
  /** Expected time to the first event at the speed of the server, without added costs. */
  expectedMs: number;
  /** The same by the service's model alone. */
  modelMs: number;
  /** The same, with what this box saw of the server's slowness and silence. */
  waitMs: number;
  /** Set if the server was chosen by the size of the request. */
  placement?: PlacementFacts;
}

/** Figures behind a choice by size. */
export interface PlacementFacts {
  outcome: PlacementOutcome;
  need: SizeNeed;
  evaluated: number;
  leavesRoom: boolean;
  /** Share of the target charged for servers that large requests need. */
  chargeShare: number;
  /** Age of the oldest message among those that the loads come from; 0 without any. */
  loadAgeMs: number;
}

/** Returns the best server for a request, or undefined if no server may accept it. */
export function chooseServer(
  state: GatewayState,
  params: {
    service: string;
    facts: RequestFacts;
    /** 0 to 9; prompts of less urgent requests are processed after it. */
    urgency: number;
    excludedServers: ReadonlySet<string>;
    /** True once an attempt of the request failed to connect. */
    staysInZone?: boolean;
    /** Selects the servers whose version may serve the request; all servers if omitted. */
    isAllowed?: (view: ServerView) => boolean;
    /** Set for a crash suspect: a hash by which all boxes send its copies to the same server. */
    trialHash?: number | undefined;
    /** Time until the first event is late, in ms; undefined for answers without events. */
    targetMs?: number | undefined;
    nowMs: number;
  },
): Choice | undefined {
  const {
    service,
    facts,
    urgency,
    excludedServers,
    staysInZone = false,
    isAllowed,
    trialHash,
    targetMs,
    nowMs,
  } = params;
  const findEligible = (usesSparePlaces: boolean): ServerView[] => {
    const found: ServerView[] = [];
    for (const view of state.servers.values()) {
      const { entry } = view;
      if (entry.service !== service) continue;
      if (excludedServers.size > 0 && excludedServers.has(entry.id)) continue;
      if (!isEligible(state, view, nowMs, usesSparePlaces)) continue;
      if (isAllowed !== undefined && !isAllowed(view)) continue;
      found.push(view);
    }
    return found;
  };
  let eligible = findEligible(false);
  if (eligible.length === 0 && rejectionsBorne(state, service) !== undefined) {
    eligible = findEligible(true);
  }
  const isAnySuspect = eligible.some((view) => isSuspect(view, nowMs));
  // Avoids a second pass over thousands of servers while none of them fails.
  const healthy = isAnySuspect ? eligible.filter((view) => !isSuspect(view, nowMs)) : eligible;
  const candidates = filterReachable(state, healthy.length > 0 ? healthy : eligible, staysInZone);
  // Avoids a pass over thousands of servers while none of them has stated anything.
  const isAnyLimited = state.statements.size > 0;
  const limited = new Set(
    isAnyLimited ? candidates.filter((view) => isLimited(view, nowMs)) : undefined,
  );
  const peers = countedPeers(state, nowMs);
  const model = modelOf(state, service, nowMs);
  const evaluate = (view: ServerView, isPreferred: boolean): Choice =>
    evaluateServer(state, {
      view,
      load: totalLoad(view, peers),
      model,
      facts,
      urgency,
      isPreferred,
      nowMs,
    });
  const probeTarget = [...limited].find((view) => isLimitRefreshDue(view, nowMs));
  const basis =
    trialHash === undefined && targetMs !== undefined
      ? placementBasis(state, { service, model, facts, targetMs, nowMs })
      : undefined;
  if (basis !== undefined) {
    const shared = { candidates, limited, probeTarget, facts, peers, evaluate, nowMs };
    return chooseBySize(state, { basis, ...shared });
  }
  const preferred = preferredServer(candidates, limited, facts);
  let best: Choice | undefined;
  const considered =
    trialHash === undefined
      ? serversToCompare(candidates, { facts, preferred, probeTarget })
      : highestRanked(candidates, trialHash, 1);
  for (const view of considered) {
    const choice = evaluate(view, view === preferred);
    if (best === undefined || choice.costMs < best.costMs) best = choice;
  }
  return best;
}

function isSuspect(view: ServerView, nowMs: number): boolean {
  return failureScore(view, nowMs) >= SUSPECT_SCORE;
}

/** Chooses a server by the size of the request, where servers differ in speed. */
function chooseBySize(
  state: GatewayState,
  params: {
    basis: PlacementBasis;
    candidates: readonly ServerView[];
    limited: ReadonlySet<ServerView>;
    probeTarget: ServerView | undefined;
    facts: RequestFacts;
    peers: readonly PeerWithMessage[];
    evaluate: (view: ServerView, isPreferred: boolean) => Choice;
    nowMs: number;
  },
): Choice | undefined {
  const { basis, candidates, limited, probeTarget, facts, peers, evaluate, nowMs } = params;
  const sharedPart = facts.promptParts.at(-2);
  const placement = placeBySize({
    ...basis,
    candidates,
    isLimited: (view) => limited.has(view),
    probeTarget,
    requestHash: hashString(facts.requestId),
    sharedPartHash: sharedPart === undefined ? undefined : hashString(sharedPart.id),
    speedOf: (view) => speedOf(state, view, nowMs),
    evaluate,
  });
  if (placement === undefined) return undefined;
  const { evaluation, outcome, evaluated, leavesRoom } = placement;
  const { need, room } = basis;
  const ages = peers.map(({ lastReceivedAtMs }) => nowMs - lastReceivedAtMs);
  return {
    ...evaluation,
    placement: {
      outcome,
      need,
      evaluated,
      leavesRoom,
      chargeShare: room.chargeShare,
      loadAgeMs: Math.max(0, ...ages),
    },
  };
}

/**
 * Returns the servers that are probably reachable: those in zones whose boxes respond, or only
 * those in this box's zone once an attempt failed to connect. In a zone that is cut off, most
 * servers are unreachable, so three attempts among all servers would fail for most callers.
 */
function filterReachable(
  state: GatewayState,
  candidates: readonly ServerView[],
  staysInZone: boolean,
): readonly ServerView[] {
  const { silentZones, settings } = state;
  if (!staysInZone && silentZones.size === 0) return candidates;
  const likelyReachable = candidates.filter(
    ({ entry }) =>
      entry.zone === settings.box.zone || !(staysInZone || silentZones.has(entry.zone)),
  );
  return likelyReachable.length > 0 ? likelyReachable : candidates;
}

/**
 * Returns the servers whose loads are compared. All boxes see the same loads, which are some
 * tenths of a second old. If every box compared all of many servers, all boxes would send to
 * the same server until the next update. So each request compares a small sample of its own.
 */
function serversToCompare(
  candidates: readonly ServerView[],
  params: {
    facts: RequestFacts;
    preferred: ServerView | undefined;
    probeTarget: ServerView | undefined;
  },
): readonly ServerView[] {
  if (candidates.length <= MAX_COMPARED_SERVERS) return candidates;
  const { facts, preferred, probeTarget } = params;
  const keyHash = hashString(facts.requestId);
  const sampled = highestRanked(candidates, keyHash, SAMPLED_SERVERS);
  return [...new Set([preferred, probeTarget, ...sampled])].filter((view) => view !== undefined);
}

function evaluateServer(
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
  const modelMs = expectedWaitMs(model, conditions);
  const expectedMs = modelMs / speedOf(state, view, nowMs);
  const waitMs = expectedMs * currentSlowness(view, nowMs) + silenceCostMs(view, expectedMs, nowMs);
  const zoneMs = view.entry.zone === state.settings.box.zone ? 0 : OTHER_ZONE_COST_MS;
  const failureMs = failureScore(view, nowMs) * FAILURE_COST_MS;
  const expiringMs = view.expiresAtMs === undefined ? 0 : EXPIRING_COST_MS;
  const probeBonusMs = isLimitRefreshDue(view, nowMs) ? LIMIT_PROBE_BONUS_MS : 0;
  const costMs = waitMs + zoneMs + failureMs + expiringMs - probeBonusMs;
  return { view, prefillTokens, conditions, expectedMs, modelMs, waitMs, costMs };
}

function tokensToRead(
  view: ServerView,
  facts: RequestFacts,
  isPreferred: boolean,
  nowMs: number,
): number {
  const total = facts.promptTokens ?? 0;
  let cached = 0;
  for (const part of facts.promptParts.slice(0, -1)) {
    const usedAtMs = view.cachedParts.get(part.id);
    const isCached =
      isPreferred || (usedAtMs !== undefined && nowMs - usedAtMs < CACHE_RETENTION_MS);
    if (!isCached) break;
    cached += part.tokens;
  }
  return Math.max(0, total - cached);
}

/**
 * Returns the server that ranks first for the prompt's last shared part. Servers with a limit
 * are left out: they accept too few requests, and not all boxes may send to them.
 */
function preferredServer(
  candidates: readonly ServerView[],
  limited: ReadonlySet<ServerView>,
  facts: RequestFacts,
): ServerView | undefined {
  const sharedPart = facts.promptParts.at(-2);
  if (sharedPart === undefined) return undefined;
  const unlimited =
    limited.size === 0 ? candidates : candidates.filter((view) => !limited.has(view));
  return highestRanked(unlimited, hashString(sharedPart.id), 1)[0];
}

/** Records that a server has processed a request's prompt, and drops expired parts. */
export function recordPartsRead(view: ServerView, facts: RequestFacts, nowMs: number): void {
  for (const part of facts.promptParts) {
    view.cachedParts.delete(part.id);
    view.cachedParts.set(part.id, nowMs);
  }
  for (const [id, usedAtMs] of view.cachedParts) {
    if (nowMs - usedAtMs < CACHE_RETENTION_MS) return;
    view.cachedParts.delete(id);
  }
}
