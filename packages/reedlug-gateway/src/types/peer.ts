/** What boxes tell each other, a datagram several times a second. */

/** Open work of a box at one server. */
export interface ServerLoad {
  /** Requests in progress. */
  running: number;
  /** Prompt tokens that are still to be read. */
  prefillTokens: number;
}

/** One box's news. Counts are totals since its start, so a lost message loses nothing. */
export interface PeerMessage {
  boxId: string;
  /** Grows with each start of a box. */
  incarnation: number;
  sequence: number;
  zone: string;
  host: string;
  port: number;
  /** Version of the configuration in force at the box; 0 for none. */
  configurationVersion: number;
  /** Revision of the registry that the box has read. */
  serversRevision: number;
  /** Time since the store last answered the box, in ms; undefined before its first answer. */
  storeContactAgeMs: number | undefined;
  /** True while the box holds the lease for duties. */
  holdsLease: boolean;
  leaving: boolean;
  /** Open work by server id. */
  loads: Readonly<Record<string, ServerLoad>>;
  /** Units admitted since the start, by workspace. */
  admitted: Readonly<Record<string, number>>;
  /** Requests begun, by usage window and workspace; the newest windows only. */
  usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Prompt tokens of requests' own parts, sent to be read since the start. */
  workTokens: number;
  /** Agreed wall clock less store clock, in ms; undefined while none is agreed. */
  clockOffsetMs: number | undefined;
}
