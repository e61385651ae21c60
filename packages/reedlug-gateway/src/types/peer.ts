/** What boxes tell each other, in datagrams. */
import type { SendSums } from '../policy/engineModel.js';
import type { CrashSuspectsMessage } from './crashSuspect.js';
import type { LimitShareGossip } from './limitShare.js';
import type { RolloutGossip } from './rollout.js';
import type { HostPort, ServerChange } from './server.js';
import type { ServerStatementsMessage } from './serverStatement.js';

/** Where a box listens for its peers, and what speaks for it as a hub. */
export interface PeerAddress {
  boxId: string;
  host: string;
  port: number;
  /** Unknown of a seed until it is heard or listed. */
  zone: string | undefined;
  /** Processor time that the box may use, in cores. */
  processorCores: number;
}

/** Open work at one server. */
export interface ServerLoad {
  /** Requests in progress. */
  running: number;
  /** Prompt tokens that are still to be read. */
  prefillTokens: number;
  /** Requests whose first event or answer has not come; boxes of an earlier version do not tell. */
  unread?: number | undefined;
  /** Prompt tokens still to be read by urgency, 0 first; told where several prompts wait. */
  unreadByUrgency?: readonly number[] | undefined;
}

/** Whose figures a message sums up. */
export const GossipScope = {
  /** The sender alone. */
  box: 'box',
  /** The sender, a hub, and the boxes that tell it their news: for the hubs of other groups. */
  group: 'group',
  /** Every box that the sender, a hub, knows of, but for the one that it is sent to. */
  others: 'others',
} as const;
export type GossipScope = (typeof GossipScope)[keyof typeof GossipScope];

/** A change of the registry as a hub took it in. */
export interface NumberedChange extends ServerChange {
  /** Counts the hub's changes, without gaps. */
  number: number;
}

/** What a hub's members need to follow the registry without the store. */
export interface RegistryGossip {
  /** Number of the hub's last change; 0 before the first. */
  lastNumber: number;
  /** The changes of the last moments, in order. */
  changes: readonly NumberedChange[];
}

/** Figures that only grow, so that a lost message loses nothing. */
export interface RunningTotals {
  /** Units admitted since the start, by workspace. */
  admitted: Readonly<Record<string, number>>;
  /** Prompt tokens sent to be read since the start; those that a server keeps do not count. */
  workTokens: number;
}

/** What is to be reported for a window of usage, as a box knows it. */
export interface UsageDecisionGossip {
  window: number;
  /** Requests by workspace. */
  counts: Readonly<Record<string, number>>;
  isReported: boolean;
}

/** One box's news, for itself or summed up over a group. */
export interface PeerMessage extends RunningTotals {
  kind: 'news';
  boxId: string;
  /** Grows with each start of a box. */
  incarnation: number;
  sequence: number;
  scope: GossipScope;
  /** True when the sender only asks for an answer: its figures reach others in another way. */
  isProbe: boolean;
  /** Boxes that the figures cover. */
  boxes: number;
  zone: string;
  host: string;
  port: number;
  processorCores: number;
  /** Version of the configuration in force at the box; 0 for none. */
  configurationVersion: number;
  /** Revision of the registry that the box has read. */
  serversRevision: number;
  /** Changes of the registry, for the members of a hub. */
  registry: RegistryGossip | undefined;
  /** The latest era of the store that the sender knows; boxes of an earlier version do not tell. */
  storeEra?: number | undefined;
  /** Time since the store last answered one of the boxes covered, in ms; undefined before its first answer. */
  storeContactAgeMs: number | undefined;
  /** The box that holds the lease for duties, when it is one of those covered. */
  leaseHolder: HostPort | undefined;
  leaving: boolean;
  /** Zones of which the sender hears no box; boxes of an earlier version do not tell. */
  silentZones?: readonly string[] | undefined;
  /** Open work by server id. */
  loads: Readonly<Record<string, ServerLoad>>;
  /** What sends have shown of the servers, by service. */
  sendSums: Readonly<Record<string, SendSums>>;
  /** Requests of the sender begun, by usage window and workspace; empty where hubs sum news up. */
  usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Decisions that the sender knows, for a while after they change; boxes of an earlier version do not tell. */
  decisions?: readonly UsageDecisionGossip[] | undefined;
  /** Units that the boxes covered could lend now, by workspace; boxes of an earlier version lend nothing. */
  room?: Readonly<Record<string, number>> | undefined;
  /** The parts that the boxes covered have of all limits; boxes of an earlier version do not tell. */
  part?: LimitShareGossip | undefined;
  /** Roll-outs that the sender knows of; boxes of an earlier version do not tell. */
  rollouts?: readonly RolloutGossip[] | undefined;
  /** Agreed wall clock less store clock, in ms; undefined while none is agreed. */
  clockOffsetMs: number | undefined;
}

/** A box's counts for the holder of the lease, where the news do not bring them. */
export interface UsageMessage {
  kind: 'usage';
  boxId: string;
  incarnation: number;
  /** Requests begun, by usage window and workspace; the newest windows only. */
  usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/**
 * Asks for units of a limit, for one request that this box's own part does not hold. A hub
 * hands on what it can't lend itself; whoever lends answers the box that asked first.
 */
export interface UnitsAskedMessage extends HostPort {
  kind: 'unitsAsked';
  /** The box that asks, its life, and where it listens. */
  boxId: string;
  incarnation: number;
  askId: number;
  workspace: string;
  units: number;
  /** How many hubs have handed it on. */
  hops: number;
}

/** Lends units; the lender's part is charged for them whether or not they are used or arrive. */
export interface UnitsLentMessage extends HostPort {
  kind: 'unitsLent';
  /** The lender, and where it listens. */
  boxId: string;
  /** Life of the box that asked. */
  incarnation: number;
  askId: number;
  units: number;
}

/** Gives lent units back that were not sent; they are the lender's again. */
export interface UnitsReturnedMessage {
  kind: 'unitsReturned';
  /** The box that asked, and its life. */
  boxId: string;
  incarnation: number;
  askId: number;
  units: number;
}

/** Any datagram between boxes. */
export type PeerDatagram =
  | PeerMessage
  | UsageMessage
  | UnitsAskedMessage
  | UnitsLentMessage
  | UnitsReturnedMessage
  | CrashSuspectsMessage
  | ServerStatementsMessage;
