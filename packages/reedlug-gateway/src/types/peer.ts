/**
 * Datagrams that boxes send each other.
 *
 * In a large fleet, the boxes of a zone form groups. The hub of a group receives the gossip of its
 * members, exchanges sums with other hubs and sends each member the sum of all other boxes.
 */
import type { SendSums } from '../policy/engineModel.js';
import type { BrittleServiceGossip } from './brittleService.js';
import type { CrashSuspectsMessage } from './crashSuspect.js';
import type { LimitShareGossip } from './limitShare.js';
import type { RolloutGossip } from './rollout.js';
import type { HostPort, ServerChange } from './server.js';
import type { ServerStatementsMessage } from './serverStatement.js';
import type {
  StreamStartAnsweredMessage,
  StreamStartAskedMessage,
  StreamStartsMessage,
  VersionsListedMessage,
} from './streamVersion.js';
import type { SpeedGossip } from './serverSpeed.js';
import type { WorkloadRow } from './workspaceShares.js';

/** Address of a box for its peers, with the processor time by which hubs are chosen. */
export interface PeerAddress {
  boxId: string;
  host: string;
  port: number;
  /** Unknown for a seed until it sends a message or is listed. */
  zone: string | undefined;
  /** Processor time available to the box, in cores. */
  processorCores: number;
}

/** Open work at a server. */
export interface ServerLoad {
  /** Requests in progress. */
  running: number;
  /** Prompt tokens still to be processed. */
  prefillTokens: number;
  /** Requests without a first event or answer so far; missing from older boxes. */
  unread?: number | undefined;
  /** Prompt tokens still to be processed by urgency, 0 first; present if prompts are waiting. */
  unreadByUrgency?: readonly number[] | undefined;
}

/** Boxes whose figures a gossip message covers. */
export const GossipScope = {
  /** Only the sender. */
  box: 'box',
  /** The sender, a hub, and the members of its group; sent to the hubs of other groups. */
  group: 'group',
  /** All boxes known to the sender, a hub, except the recipient. */
  others: 'others',
} as const;
export type GossipScope = (typeof GossipScope)[keyof typeof GossipScope];

/** A change of the registry, numbered by a hub. */
export interface NumberedChange extends ServerChange {
  /** Sequence number among the hub's changes, without gaps. */
  number: number;
}

/** Registry changes from which a hub's members follow the registry without the store. */
export interface RegistryGossip {
  /** Number of the hub's last change; 0 before the first. */
  lastNumber: number;
  /** Recent changes, in order. */
  changes: readonly NumberedChange[];
}

/** Units that a covered box reserves for a refused request, see `UnitReservation`. */
export interface UnitReservationGossip {
  workspace: string;
  urgency: number;
  units: number;
  /**
   * Time since the first refusal, and times until the caller returns (negative once passed) and
   * until the reservation expires, in ms.
   */
  ageMs: number;
  dueInMs: number;
  leftMs: number;
}

/** Totals that only increase, so that a lost message does not lose data. */
export interface RunningTotals {
  /** Units admitted since the start, by workspace. */
  admitted: Readonly<Record<string, number>>;
  /** Prompt tokens sent for processing since the start, without those in a server's cache. */
  workTokens: number;
}

/** Decision on what is reported for a usage window, as known to a box. */
export interface UsageDecisionGossip {
  window: number;
  /** Requests by workspace. */
  counts: Readonly<Record<string, number>>;
  isReported: boolean;
}

/** Gossip of one box, for itself or summed up over several boxes. */
export interface PeerMessage extends RunningTotals {
  kind: 'news';
  boxId: string;
  /** Increases with each start of the box. */
  incarnation: number;
  sequence: number;
  scope: GossipScope;
  /** True if the message only requests an answer; its figures reach others in another way. */
  isProbe: boolean;
  /** Number of boxes that the figures cover. */
  boxes: number;
  zone: string;
  host: string;
  port: number;
  processorCores: number;
  /** Version of the active configuration of the sender; 0 for none. */
  configurationVersion: number;
  /**
   * Whether the sender has just read that version after a call of the store that brought no answer, so that others may
   * have missed it as well; missing otherwise, and from older boxes.
   */
  isConfigurationLate?: boolean | undefined;
  /** Revision of the registry that the sender has read. */
  serversRevision: number;
  /** Revision that no change of the registry known to the sender exceeds; missing from older boxes. */
  serversRevisionMax?: number | undefined;
  /** Changes of the registry, sent by a hub to its members. */
  registry: RegistryGossip | undefined;
  /** Latest era of the store known to the sender; missing from older boxes. */
  storeEra?: number | undefined;
  /**
   * Time since the store last answered one of the covered boxes, in ms; undefined before its first
   * answer.
   */
  storeContactAgeMs: number | undefined;
  /**
   * Time since the store last answered the sender's own feeds of configuration and registry, the
   * older of both, in ms; missing if it does not follow them, and from older boxes.
   */
  feedAgeMs?: number | undefined;
  /**
   * Age of the moment up to which the sender's configuration and registry were those of the store, by its own feeds or
   * as its peers showed, in ms; missing from members of a hub and from older boxes.
   */
  knownAgeMs?: number | undefined;
  /**
   * Time for which no life of a box has ended that the covered boxes hear, in ms, counted from when the box that speaks
   * for them had heard its fleet; missing while that is not known, and from older boxes.
   */
  sameLivesForMs?: number | undefined;
  /** True while the store does not answer the sender, or in a hub's sum for its members, any box; missing otherwise, and from older boxes. */
  isStoreLost?: boolean | undefined;
  /** Address of the holder of the duty lease, if it is one of the covered boxes. */
  leaseHolder: HostPort | undefined;
  leaving: boolean;
  /** Zones from whose boxes the sender receives nothing; missing from older boxes. */
  silentZones?: readonly string[] | undefined;
  /** Services whose servers are brittle; missing from older boxes, and while there are none. */
  brittle?: readonly BrittleServiceGossip[] | undefined;
  /**
   * Whether the sender has lost its own links to servers; missing from older boxes, and while it has
   * not.
   */
  isCutOff?: boolean | undefined;
  /**
   * Hashes of the ids of the covered boxes that have, apart from the sender; missing while there are none, and from
   * boxes that are not hubs.
   */
  cutOffBoxes?: readonly number[] | undefined;
  /** Open work by server id. */
  loads: Readonly<Record<string, ServerLoad>>;
  /** Statistics of sends, by service. */
  sendSums: Readonly<Record<string, SendSums>>;
  /**
   * Requests started by the sender, by usage window and workspace; empty if the sender has a hub.
   */
  usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Decisions known to the sender, for a while after they change; missing from older boxes. */
  decisions?: readonly UsageDecisionGossip[] | undefined;
  /** Spare units that the covered boxes could lend now, by workspace; older boxes lend nothing. */
  room?: Readonly<Record<string, number>> | undefined;
  /**
   * Units that the covered boxes reserve; missing from older boxes and from boxes that reserve
   * none.
   */
  reservations?: readonly UnitReservationGossip[] | undefined;
  /** Limit shares of the covered boxes; missing from older boxes. */
  part?: LimitShareGossip | undefined;
  /** Roll-outs known to the sender; missing from older boxes. */
  rollouts?: readonly RolloutGossip[] | undefined;
  /**
   * Sums behind the speeds of servers over the covered boxes, for some of the servers; missing from
   * older boxes, and while no speeds are learned.
   */
  speeds?: readonly SpeedGossip[] | undefined;
  /**
   * Recent work by service and workspace, the heaviest first; missing while capacity is not shared.
   */
  workloads?: readonly WorkloadRow[] | undefined;
  /** Agreed wall clock minus store clock, in ms; undefined while none is agreed. */
  clockOffsetMs: number | undefined;
}

/** Usage counts of a box for the lease holder, if gossip does not carry them. */
export interface UsageMessage {
  kind: 'usage';
  boxId: string;
  incarnation: number;
  /** Requests started, by usage window and workspace; only the latest windows. */
  usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/**
 * Requests units of a limit for one request that exceeds the sender's own share. A hub forwards
 * the request for the units that it can't lend itself. Lenders answer the box that
 * originally sent the request.
 */
export interface UnitsAskedMessage extends HostPort {
  kind: 'unitsAsked';
  /** The requesting box and its incarnation; `host` and `port` are its address. */
  boxId: string;
  incarnation: number;
  askId: number;
  workspace: string;
  units: number;
  /** Number of hubs that have forwarded the message. */
  hops: number;
  /**
   * Urgency of the request, and time since it first asked for units, in ms; missing from older
   * boxes.
   */
  urgency?: number | undefined;
  heldForMs?: number | undefined;
  /** True if the units are for a stream that has begun. */
  isForBegun?: boolean | undefined;
}

/** Lends units. The lender's share is charged for them, whether or not they arrive or are used. */
export interface UnitsLentMessage extends HostPort {
  kind: 'unitsLent';
  /** The lender; `host` and `port` are its address. */
  boxId: string;
  /** Incarnation of the box that requested the units. */
  incarnation: number;
  askId: number;
  units: number;
  /**
   * Number of the loan at its lender, by which a datagram that arrives twice is known; missing from
   * older boxes.
   */
  loanId?: number | undefined;
}

/** Returns unused lent units to the lender. */
export interface UnitsReturnedMessage {
  kind: 'unitsReturned';
  /** The box that requested the units, and its incarnation. */
  boxId: string;
  incarnation: number;
  askId: number;
  units: number;
  /** Number of the loan at its lender; missing from older boxes. */
  loanId?: number | undefined;
}

/** A datagram between boxes. */
export type PeerDatagram =
  | PeerMessage
  | UsageMessage
  | UnitsAskedMessage
  | UnitsLentMessage
  | UnitsReturnedMessage
  | CrashSuspectsMessage
  | ServerStatementsMessage
  | StreamStartsMessage
  | StreamStartAskedMessage
  | StreamStartAnsweredMessage
  | VersionsListedMessage;
