/**
 * Rows of sums that this box sends to its peers, for itself, for its group, or for all boxes except
 * the recipient. A row is sent about once a second if it changed, and every few seconds otherwise.
 */
import { decaySpeedSums, evidenceOf } from '../../policy/serverSpeed.js';
import type { GatewayState } from '../../state.js';
import { GossipScope, type PeerMessage } from '../../types/peer.js';
import type {
  DatedSpeedSums,
  SpeedGossip,
  SpeedSchedule,
  SpeedSums,
} from '../../types/serverSpeed.js';
import type { PeerView } from '../../types/views.js';
import type { PeerWithMessage } from '../peers/fleet.js';
import { addSums, sumsFrom, withoutPeer, type SumsByServer } from './speedSums.js';

/** Interval between checks for changed rows, in ms. */
const CHECK_INTERVAL_MS = 1000;
/**
 * Interval after which an unchanged row is sent again, in ms: a lost row is replaced before its
 * sums have mostly decayed.
 */
const REFRESH_INTERVAL_MS = 4000;
/** Change of the ratio from which a row is sent, as a share: smaller ones are mostly noise. */
const MIN_RATIO_CHANGE = 0.05;
/**
 * Change of the evidence from which a row is sent, as a share: the evidence only weighs the ratio,
 * so it may be less exact.
 */
const MIN_EVIDENCE_CHANGE = 0.1;
/**
 * Maximum number of rows of one message, which also holds the loads of thousands of servers and
 * must fit into a datagram (64 KB).
 */
export const MAX_SPEED_ROWS = 256;

/** Rows for the recipients of one tick. */
export interface SpeedRows {
  own: () => readonly SpeedGossip[];
  group: () => readonly SpeedGossip[];
  others: (recipient: PeerView) => readonly SpeedGossip[];
}

/** Prepares the rows of a tick; undefined while speeds are not learned. */
export function speedRows(
  state: GatewayState,
  nowMs: number,
  counted: readonly PeerWithMessage[],
): SpeedRows | undefined {
  if (!state.settings.load.learnServerSpeeds) return undefined;
  const { schedules } = state.serverSpeeds;
  const members = counted.filter(({ message }) => message.scope === GossipScope.box);
  const hubs = counted.filter(({ message }) => message.scope === GossipScope.group);
  const rowsForAll = (
    schedule: SpeedSchedule,
    of: readonly PeerWithMessage[],
    to: readonly PeerWithMessage[],
  ): readonly SpeedGossip[] => {
    const sums = once((): SumsByServer => sumOwnAnd(state, of, nowMs));
    const added = addRecipients(schedule, to);
    return rowsOf(sums, takeDue(schedule, { sums, isAllDue: added.size > 0, nowMs }));
  };
  const sums = once((): SumsByServer => sumOwnAnd(state, counted, nowMs));
  const forOthers = once(() => {
    const added = addRecipients(schedules.others, members);
    return { added, ids: takeDue(schedules.others, { sums, isAllDue: false, nowMs }) };
  });
  return {
    own: once(() => rowsForAll(schedules.box, [], counted)),
    group: once(() => rowsForAll(schedules.group, members, hubs)),
    others: (recipient) => {
      const { added, ids } = forOthers();
      const member = members.find(({ boxId }) => boxId === recipient.boxId);
      const part = member === undefined ? undefined : sumsFrom(state, member)?.byServer;
      const sent = added.has(recipientId(recipient)) ? largestOf(sums()) : ids;
      return rowsOf(sums, sent, (total, id) => withoutPeer(total, part?.get(id), nowMs));
    },
  };
}

/** Adds rows to a message; a message without rows leaves those received before in force. */
export function withSpeeds(message: PeerMessage, rows: readonly SpeedGossip[] = []): PeerMessage {
  return rows.length === 0 ? message : { ...message, speeds: rows };
}

function once<T>(compute: () => T): () => T {
  let computed: { value: T } | undefined;
  return () => (computed ??= { value: compute() }).value;
}

function sumOwnAnd(
  state: GatewayState,
  peers: readonly PeerWithMessage[],
  nowMs: number,
): SumsByServer {
  const total: SumsByServer = new Map();
  addSums(total, state.serverSpeeds.own, nowMs);
  for (const peer of peers) {
    const received = sumsFrom(state, peer);
    if (received !== undefined) addSums(total, received.byServer, nowMs);
  }
  return total;
}

function recipientId({ boxId, message }: PeerView): string {
  return `${boxId}/${message?.incarnation ?? 0}`;
}

/** Sets the recipients of a schedule, and returns those that were not among them before. */
function addRecipients(
  schedule: SpeedSchedule,
  peers: readonly PeerWithMessage[],
): ReadonlySet<string> {
  const recipients = new Set(peers.map(recipientId));
  const added = new Set([...recipients].filter((id) => !schedule.recipients.has(id)));
  schedule.recipients = recipients;
  return added;
}

/** Takes the ids of the rows to send now. */
function takeDue(
  schedule: SpeedSchedule,
  params: { sums: () => SumsByServer; isAllDue: boolean; nowMs: number },
): readonly string[] {
  const { sums, isAllDue, nowMs } = params;
  if (isAllDue || nowMs - schedule.checkedAtMs >= CHECK_INTERVAL_MS) {
    schedule.checkedAtMs = nowMs;
    schedule.due = dueIds(schedule, sums(), nowMs, isAllDue);
  }
  if (schedule.due.length === 0) return schedule.due;
  const ids = schedule.due.splice(0, MAX_SPEED_ROWS);
  for (const id of ids) {
    const row = sums().get(id);
    if (row !== undefined) schedule.sent.set(id, row);
  }
  return ids;
}

/** Returns the ids of the rows that changed or were not sent for long, the longest unsent first. */
function dueIds(
  schedule: SpeedSchedule,
  sums: SumsByServer,
  nowMs: number,
  isAllDue: boolean,
): string[] {
  for (const id of schedule.sent.keys()) if (!sums.has(id)) schedule.sent.delete(id);
  const sentAtMs = (id: string): number => schedule.sent.get(id)?.atMs ?? -Infinity;
  const due: string[] = [];
  for (const [id, row] of sums) {
    if (isAllDue || isRowDue(row, schedule.sent.get(id), nowMs)) due.push(id);
  }
  return due.sort((one, other) => sentAtMs(one) - sentAtMs(other));
}

function isRowDue(row: DatedSpeedSums, sent: DatedSpeedSums | undefined, nowMs: number): boolean {
  if (sent === undefined || sent.bornAtMs !== row.bornAtMs) return true;
  const ageMs = nowMs - sent.atMs;
  if (ageMs >= REFRESH_INTERVAL_MS) return true;
  // Recipients decay the sums that they received, so only a deviation from these is sent.
  const known = decaySpeedSums(sent.sums, ageMs);
  return (
    differs(evidenceOf(row.sums), evidenceOf(known), MIN_EVIDENCE_CHANGE) ||
    differs(ratioOf(row), ratioOf(sent), MIN_RATIO_CHANGE)
  );
}

function ratioOf({ sums }: { sums: SpeedSums }): number {
  return (sums.evenObservedMs + sums.oddObservedMs) / Math.max(1, evidenceOf(sums));
}

function differs(value: number, known: number, share: number): boolean {
  return Math.abs(value - known) > share * Math.max(value, known);
}

/** Returns the ids of the servers with the most evidence, for a recipient that has no rows yet. */
function largestOf(sums: SumsByServer): readonly string[] {
  if (sums.size <= MAX_SPEED_ROWS) return [...sums.keys()];
  return [...sums]
    .sort(([, one], [, other]) => evidenceOf(other.sums) - evidenceOf(one.sums))
    .slice(0, MAX_SPEED_ROWS)
    .map(([id]) => id);
}

function rowsOf(
  sums: () => SumsByServer,
  ids: readonly string[],
  adjust: (row: DatedSpeedSums, id: string) => DatedSpeedSums = (row) => row,
): readonly SpeedGossip[] {
  const rows: SpeedGossip[] = [];
  for (const serverId of ids) {
    const total = sums().get(serverId);
    if (total === undefined) continue;
    const row = adjust(total, serverId);
    rows.push({ serverId, bornAtMs: row.bornAtMs, sums: row.sums });
  }
  return rows;
}
