/** Decides which servers may go on with a stream that has begun. */
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { RolloutPhase } from '../../types/rollout.js';
import type { ServerView } from '../../types/views.js';
import { isBlockedVersion, isTargetVersion } from '../rollouts/versionRule.js';
import { confirmableLives, isCutOffFromRegistry } from './serverLives.js';
import { hasSeveralVersions, softwareVersionOf } from './servedVersions.js';

/** Returns whether a server may go on with a stream; undefined for a request of which no event has been relayed. */
export function resumeRule(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): ((view: ServerView) => boolean) | undefined {
  const { beganAtVersion, isBeginUncertain, service } = record;
  if (beganAtVersion === undefined) return undefined;
  // Where one version has served, the next life of a server hardly has another one, as far as the box can know.
  const mayHaveChanged = hasSeveralVersions(state, service) || isCutOffFromRegistry(state, nowMs);
  const lives = mayHaveChanged ? confirmableLives(state, nowMs) : undefined;
  return (view) =>
    !isBeginUncertain &&
    softwareVersionOf(view.entry) === beganAtVersion &&
    isOpenToStreams(state, view) &&
    lives?.has(view) !== false;
}

/**
 * Whether a roll-out lets streams that have begun at a server's version go on there. Until a version carries
 * the load, only first sends go to it: further ones would expose more requests to it than its share.
 */
function isOpenToStreams(state: GatewayState, { entry }: ServerView): boolean {
  const view = state.rollouts.get(entry.service);
  if (view === undefined) return true;
  if (isBlockedVersion(view, entry)) return false;
  if (!isTargetVersion(view, entry)) return true;
  return view.phase === RolloutPhase.shifted || view.phase === RolloutPhase.completed;
}

/** Whether any server of a stream's version is there to go on with it, now or once it accepts requests again. */
export function hasServersOfVersion(
  state: GatewayState,
  { service, beganAtVersion }: RequestRecord,
): boolean {
  for (const { entry, leaving } of state.servers.values()) {
    const isOfService = entry.service === service && !leaving;
    if (isOfService && softwareVersionOf(entry) === beganAtVersion) return true;
  }
  return false;
}
