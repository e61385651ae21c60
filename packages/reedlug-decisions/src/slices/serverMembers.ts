/** Membership of backend servers, and which of them may receive requests. */
import { MemberState, acceptsNewWork, type Member } from 'reedlug-coordination';
import { ServerKind } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { ServerView } from '../types/views.js';

/** Returns the membership record of a server, or undefined if no source has named it. */
export function serverMember(state: BoxState, serverId: string): Member | undefined {
  return state.serverMembers.members.get(serverId);
}

/** True if a server may receive new requests. */
export function serverAcceptsRequests(state: BoxState, view: ServerView): boolean {
  const member = serverMember(state, view.spec.id);
  if (member === undefined) return false;
  if (state.mutations.has('trustStaleList') && member.state !== MemberState.dead) return true;
  if (!acceptsNewWork(member)) return false;
  return reportAllowsRequests(view);
}

/** Checks the engine's own report, which takes precedence over the settings. */
function reportAllowsRequests(view: ServerView): boolean {
  const { report, spec } = view;
  if (report === undefined || spec.kind === ServerKind.service) return true;
  if (report.role !== 'serve') return false;
  return report.model === spec.pool;
}
