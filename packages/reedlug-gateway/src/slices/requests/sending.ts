/** Choosing a server for a request and sending the request there. */
import { describeRevision, hashString, Reach } from 'reedlug-coordination';
import { chooseServer, recordPartsRead, type Choice } from '../../policy/chooseServer.js';
import { addUnreadPrompt } from '../../policy/serverLoad.js';
import { recordSend } from '../../policy/serverSilence.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { RouteKind } from '../../types/configuration.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import { reserveRetryAfterMs, SERVERS_LIMITED } from '../statements/retryAfterTimes.js';
import { recordSendForStatements } from '../statements/eligibility.js';
import { takesSparePlace, yieldsPlaces } from '../statements/brittleServices.js';
import { recordWork } from '../workspaceShares/workSums.js';
import { crashesToBlock } from '../../policy/crashVerdict.js';
import { unexplainedCrashes } from '../crashes/suspectRivals.js';
import { requestKey } from '../crashes/suspectKeys.js';
import { suspectsOf } from '../crashes/suspectTable.js';
import { giveUp, isRepeatable } from './requestCompletion.js';
import { placementFields } from '../placement/placementFields.js';
import { recordPlacement } from '../placement/servicePlacement.js';
import { speedLogFields } from '../serverSpeeds/speedOf.js';
import { recordIntendedStart } from '../streamVersions/intendedStarts.js';
import { knownLives } from '../streamVersions/serverLives.js';
import { resumeRule } from '../streamVersions/resumeRule.js';
import { registryAgeMs } from '../store/feedAges.js';
import { carriesLoad, versionRule } from '../rollouts/versionRule.js';

/** Returns the best server for a request now, or undefined when none is eligible. */
export function chooseServerFor(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  excludedServers: ReadonlySet<string> = record.excludedServers,
): Choice | undefined {
  if (yieldsPlaces(state, record, step.nowMs)) return undefined;
  const params = {
    service: record.service,
    facts: record.facts,
    urgency: record.urgency,
    excludedServers,
    staysInZone: record.failedToConnect,
    trialHash: suspectHash(state, record),
    targetMs: firstEventTargetMs(record, step.nowMs),
    nowMs: step.nowMs,
  };
  const mayResume = resumeRule(state, record, step.nowMs);
  if (mayResume !== undefined) return chooseServer(state, { ...params, isAllowed: mayResume });
  const rule = versionRule(state, record);
  if (rule === undefined) return chooseServer(state, params);
  const choice = chooseServer(state, { ...params, isAllowed: rule.isAllowed });
  if (choice !== undefined || !rule.isSample) return choice;
  // No server of the sample accepts requests: the request goes to the version that carries the load.
  return chooseServer(state, { ...params, isAllowed: ({ entry }) => carriesLoad(state, entry) });
}

/** Returns the time until the first event of a stream is late, or undefined for other answers. */
function firstEventTargetMs(
  { route, arrivedAtMs }: RequestRecord,
  nowMs: number,
): number | undefined {
  return route.kind === RouteKind.stream ? arrivedAtMs + route.targetMs - nowMs : undefined;
}

/**
 * Returns the hash that places a request that may have crashed a server. All boxes send copies
 * of one such request to the same server, and different requests mostly to different servers.
 * So a crashing request takes down one server at a time, and requests that merely ran
 * alongside it are not on its server at the next crash.
 */
function suspectHash(state: GatewayState, record: RequestRecord): number | undefined {
  const key = requestKey(record.workspace, record.facts.digest);
  const suspects = suspectsOf(state, record);
  const hasCrashes = suspects.some((suspect) => suspect.key === key && suspect.crashes.length > 0);
  const trial = suspects.find(
    (suspect) => unexplainedCrashes(state, suspect).length >= crashesToBlock(suspect),
  );
  if (trial !== undefined) return hashString(trial.key);
  const wasLost = record.attempts.some(
    ({ open, reach, firstOutputAtMs }) =>
      !open && reach === Reach.maybe && firstOutputAtMs === undefined,
  );
  if (!hasCrashes && !wasLost) return undefined;
  return hashString(key);
}

/** Sends a request to the best server, or gives it up if there is none. */
export function sendOrGiveUp(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  choice = chooseServerFor(state, step, record),
): void {
  if (choice === undefined) {
    const retryAfterMs = reserveRetryAfterMs(state, record, step.nowMs);
    const reason = retryAfterMs === undefined ? 'noServer' : SERVERS_LIMITED;
    return giveUp(state, step, record, reason, retryAfterMs);
  }
  send(state, step, record, choice);
}

function send(state: GatewayState, step: Step, record: RequestRecord, choice: Choice): void {
  const { view, prefillTokens, conditions, expectedMs, modelMs } = choice;
  const attempt: Attempt = {
    attemptId: state.nextAttemptId,
    serverId: view.entry.id,
    bornAtMs: view.entry.bornAtMs,
    life: view.life,
    version: view.entry.version,
    isAtKnownLife: knownLives(state, step.nowMs).has(view),
    sentAtMs: step.nowMs,
    reach: Reach.none,
    open: true,
    usesSparePlace: takesSparePlace(state, view, step.nowMs),
    prefillTokens,
    urgency: record.urgency,
    conditions,
    expectedMs,
    modelMs,
    lastActivityAtMs: step.nowMs,
    firstOutputAtMs: undefined,
  };
  state.nextAttemptId += 1;
  record.attempts.push(attempt);
  recordSend(view, step.nowMs);
  recordSendForStatements(view, step.nowMs);
  view.running += 1;
  addUnreadPrompt(view, attempt);
  if (record.attempts.length === 1) {
    state.workTokens += prefillTokens;
    recordWork(state, record, { prefillTokens, isAdmitted: true }, step.nowMs);
  }
  if (record.attempts.length === 1 && choice.placement !== undefined) {
    const { service, facts } = record;
    recordPlacement(state, { service, facts, need: choice.placement.need }, step.nowMs);
  }
  recordPartsRead(view, record.facts, step.nowMs);
  recordIntendedStart(state, record);
  const { exchangeId, route } = record;
  step.effects.push({
    type: 'send',
    exchangeId,
    attemptId: attempt.attemptId,
    streaming: route.kind === RouteKind.stream,
    order: {
      serverId: view.entry.id,
      address: view.entry.address,
      deadlineMs: Math.max(1, Math.floor(record.deadlineAtMs - step.nowMs)),
      urgency: route.kind === RouteKind.stream ? record.urgency : undefined,
      workspace: record.workspace,
      resumeAfterEventId: record.lastEventId,
      needsFreshConnection: !isRepeatable(record),
    },
  });
  log(step, 'requestSent', {
    request: record.facts.requestId,
    digest: record.facts.digest,
    route: route.name,
    workspace: record.workspace ?? '',
    units: record.units,
    server: view.entry.id,
    attempt: record.attempts.length,
    costMs: Math.round(choice.costMs),
    expectedMs: Math.round(expectedMs),
    ...speedLogFields(state, view, step.nowMs),
    running: conditions.running,
    prefillTokens,
    version: view.entry.version ?? '',
    limitPerSecond: view.statements?.limit?.perSecond ?? -1,
    restLeftMs: Math.max(0, Math.round((view.statements?.rest?.untilMs ?? 0) - step.nowMs)),
    configuration: state.active?.configuration.version ?? 0,
    servers: describeRevision(state.serversRevision),
    registryAgeMs: registryAgeMs(state, step.nowMs),
    ...placementFields(choice),
  });
}
