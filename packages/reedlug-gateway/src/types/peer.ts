/** What boxes tell each other, in datagrams. */
import type { SendSums } from '../policy/engineModel.js';
import type { RolloutNews } from './rollout.js';
import type { HostPort, ServerChange } from './server.js';

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
export const NewsScope = {
  /** The sender alone. */
  box: 'box',
  /** The sender, a hub, and the boxes that tell it their news: for the hubs of other groups. */
  group: 'group',
  /** Every box that the sender, a hub, knows of, but for the one that it is sent to. */
  others: 'others',
} as const;
export type NewsScope = (typeof NewsScope)[keyof typeof NewsScope];

/** A change of the registry as a hub took it in. */
export interface NumberedChange extends ServerChange {
  /** Counts the hub's changes, without gaps. */
  number: number;
}

/** What a hub's members need to follow the registry without the store. */
export interface RegistryNews {
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

/** One box's news, for itself or summed up over a group. */
export interface PeerMessage extends RunningTotals {
  kind: 'news';
  boxId: string;
  /** Grows with each start of a box. */
  incarnation: number;
  sequence: number;
  scope: NewsScope;
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
  registry: RegistryNews | undefined;
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
  /** Roll-outs that the sender knows of; boxes of an earlier version do not tell. */
  rollouts?: readonly RolloutNews[] | undefined;
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

/** Units admitted in the last window of limits, by workspace: one sum each half second, the newest first. */
export type WindowNews = Readonly<Record<string, readonly number[]>>;

/** What all boxes admitted in the last window, as it stands in the store for the case that all are lost at once. */
export interface StoredLimits {
  /** The store's clock at the time. */
  atStoreMs: number;
  admitted: WindowNews;
}

/** What a box that has just started needs to know of the limits; sent to it when it is first heard. */
export interface LimitsMessage {
  kind: 'limits';
  boxId: string;
  /** What the sender admitted; of a hub, what all others than the receiver did. */
  admitted: WindowNews;
  /** What the receiver admitted in its earlier life, as far as the sender heard. */
  admittedByReceiver: WindowNews;
  /** What each other box admitted, where the sender is no hub: those may have lost it together with the receiver. */
  admittedByOthers: Readonly<Record<string, WindowNews>>;
  /** False while the sender itself does not know what was admitted before its start. */
  isComplete: boolean;
}

/** Any datagram between boxes. */
export type PeerDatagram = PeerMessage | UsageMessage | LimitsMessage;
