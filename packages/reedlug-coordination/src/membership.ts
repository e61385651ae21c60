/**
 * Membership of boxes and backend servers, from sources that differ in reliability.
 *
 * Leaving is final for an incarnation: once any source has reported it, no stale
 * list and no late heartbeat of the same incarnation reverts it. A member that
 * only the platform's list names, which lags, is `listed` and gets no work until
 * it is known to be live.
 */
export const MemberState = {
  /** Named only by the platform's list. */
  listed: 'listed',
  /** A `heard` statement was received recently. */
  live: 'live',
  /** Silent for longer than `suspectAfterMs`, or reported silent by a source. */
  suspect: 'suspect',
  /** Reported by some source to be leaving. */
  leaving: 'leaving',
  /** Reported gone, or silent for longer than `deadAfterMs`. */
  dead: 'dead',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** The source of a statement about a member. */
export const MemberSource = {
  direct: 'direct',
  notice: 'notice',
  peer: 'peer',
  list: 'list',
} as const;
export type MemberSource = (typeof MemberSource)[keyof typeof MemberSource];

/** What one process knows about one member. */
export interface Member {
  id: string;
  zone: string;
  /** Grows with each start of the member under the same id. */
  incarnation: number;
  state: MemberState;
  /** Time of the last `heard` statement, or of the first statement, on this process's clock. */
  lastReceivedAtMs: number;
  /** Time at which it leaves, on this process's clock, if a source has reported it. */
  leavesAtMs: number | undefined;
  /** Time at which the first source reported that it leaves. */
  leavingSinceMs: number | undefined;
}

/** A statement of one source about a member; `heard` says that the member has sent something. */
export type MemberStatement =
  | { kind: 'heard'; incarnation: number; zone: string }
  | { kind: 'leaving'; incarnation: number; leavesAtMs: number | undefined; source: MemberSource }
  | { kind: 'listed'; incarnation: number; zone: string; leaving: boolean }
  | { kind: 'silent'; incarnation: number }
  | { kind: 'gone'; incarnation: number; source: MemberSource };

/** Times of silence after which a member's state changes. */
export interface MembershipOptions {
  suspectAfterMs: number;
  deadAfterMs: number;
}

/** All members known to one process. */
export interface Membership {
  options: MembershipOptions;
  members: Map<string, Member>;
}

/** Returns an empty membership. */
export function createMembership(options: MembershipOptions): Membership {
  return { options, members: new Map() };
}

/** Applies a statement about a member; returns the member if it is new or its state changed. */
export function recordMemberStatement(
  membership: Membership,
  id: string,
  statement: MemberStatement,
  nowMs: number,
): Member | undefined {
  const member = membership.members.get(id);
  if (member === undefined || statement.incarnation > member.incarnation) {
    return addMember(membership, id, member, statement, nowMs);
  }
  if (statement.incarnation < member.incarnation) return undefined;
  const before = member.state;
  applyStatement(member, statement, nowMs);
  return member.state === before ? undefined : member;
}

function addMember(
  membership: Membership,
  id: string,
  previous: Member | undefined,
  statement: MemberStatement,
  nowMs: number,
): Member {
  const zone = 'zone' in statement ? statement.zone : (previous?.zone ?? '');
  const member: Member = {
    id,
    zone,
    incarnation: statement.incarnation,
    state: MemberState.listed,
    lastReceivedAtMs: nowMs,
    leavesAtMs: undefined,
    leavingSinceMs: undefined,
  };
  applyStatement(member, statement, nowMs);
  membership.members.set(id, member);
  return member;
}

function applyStatement(member: Member, statement: MemberStatement, nowMs: number): void {
  switch (statement.kind) {
    case 'heard':
      member.lastReceivedAtMs = nowMs;
      if (statement.zone !== '') member.zone = statement.zone;
      if (!isKnownToLeave(member)) member.state = MemberState.live;
      return;
    case 'listed':
      if (statement.leaving) markLeaving(member, undefined, nowMs);
      return;
    case 'leaving':
      markLeaving(member, statement.leavesAtMs, nowMs);
      return;
    case 'silent':
      if (member.state === MemberState.live) member.state = MemberState.suspect;
      return;
    case 'gone':
      member.state = MemberState.dead;
      return;
  }
}

function isKnownToLeave(member: Member): boolean {
  return member.leavingSinceMs !== undefined;
}

function markLeaving(member: Member, leavesAtMs: number | undefined, nowMs: number): void {
  member.leavingSinceMs ??= nowMs;
  if (leavesAtMs !== undefined) {
    member.leavesAtMs = Math.min(member.leavesAtMs ?? leavesAtMs, leavesAtMs);
  }
  if (member.state !== MemberState.dead) member.state = MemberState.leaving;
}

/** Applies the times of silence; returns the members whose state changed. */
export function membershipTick(membership: Membership, nowMs: number): Member[] {
  const changed: Member[] = [];
  for (const member of membership.members.values()) {
    const next = stateAfterSilence(membership.options, member, nowMs);
    if (next === member.state) continue;
    member.state = next;
    changed.push(member);
  }
  return changed;
}

function stateAfterSilence(options: MembershipOptions, member: Member, nowMs: number): MemberState {
  const silentMs = nowMs - member.lastReceivedAtMs;
  switch (member.state) {
    case MemberState.live:
      return silentMs > options.suspectAfterMs ? MemberState.suspect : member.state;
    case MemberState.suspect:
      return silentMs > options.deadAfterMs ? MemberState.dead : member.state;
    case MemberState.leaving:
    case MemberState.listed:
    case MemberState.dead:
      return member.state;
  }
}

/** Returns whether the member may be given new work. */
export function acceptsNewWork(member: Member): boolean {
  return member.state === MemberState.live;
}

/** Returns the ids of the live members of a zone in sorted order; an id's index is its rank. */
export function liveInZone(membership: Membership, zone: string): string[] {
  const ids: string[] = [];
  for (const member of membership.members.values()) {
    if (member.zone === zone && member.state === MemberState.live) ids.push(member.id);
  }
  return ids.sort();
}
