/**
 * Software versions at which streams began.
 *
 * What servers of two versions write does not fit together, so a stream goes on only at the version
 * that produced its first event, inside one answer and when its caller takes it up at any box.
 */
import type { PendingRequest } from './request.js';
import type { TakeUp } from './takeUp.js';

/**
 * Shortest time for which streams, and versions that have ended, are kept, in ms: a server serves on for
 * some seconds after its entry is gone.
 */
export const MIN_STREAM_RETENTION_MS = 30_000;

/** Maximum length of a version's name, as long as the registry allows: a version that is dropped here would count as one that never served. */
export const MAX_VERSION_LENGTH = 200;

/** A stream that its caller may take up. */
export interface StreamStart {
  /** Workspace, and id of the request that brought the first event. */
  key: string;
  service: string;
  /** Software version of the first event's server; undefined if it is uncertain, or two streams have the same key. */
  version: string | undefined;
  /** Time after which its caller has given up. */
  untilMs: number;
  /** True if this box relayed the stream, in this life or an earlier one. */
  isOwn: boolean;
  /** Units that its request counts against the limit of its workspace; 0 if that is not known. */
  units: number;
  /** Box or row from which it is known, and the time of its first record here. */
  source: string;
  recordedAtMs: number;
}

/**
 * A stream in a message or a row: key, service, version, time left until its caller gives up, in ms, and the units of
 * its request, which older boxes do not state.
 */
export type StreamStartRow = readonly [string, string, string | null, number, number?];

/** A stream that an earlier life of this box was relaying when it ended. */
export interface CutStream {
  key: string;
  units: number;
}

/** Streams that the sender relayed. */
export interface StreamStartsMessage {
  kind: 'streamStarts';
  boxId: string;
  starts: readonly StreamStartRow[];
}

/** Asks for the start of a stream; `host` and `port` are the address of the asking box. */
export interface StreamStartAskedMessage {
  kind: 'streamStartAsked';
  boxId: string;
  host: string;
  port: number;
  key: string;
  service: string;
}

/** Answers for the start of a stream. */
export interface StreamStartAnsweredMessage {
  kind: 'streamStartAnswered';
  boxId: string;
  key: string;
  /** Null if the box does not know the stream. */
  start: StreamStartRow | null;
  /** Versions of the service at which a stream may have begun, as the box has seen them. */
  versions: readonly string[];
}

/** Tells other boxes the versions row as the sender knows it, so that they need not read it. */
export interface VersionsListedMessage extends ServedVersionsRow {
  kind: 'versionsListed';
  boxId: string;
  /** Revision of the row. */
  revision: number;
  /** Time since it was that of the table, in ms. */
  knownForMs: number;
}

/** State of the table with regard to a look-up. */
export type TableLookup = 'pending' | 'read' | 'failed';

/** What proves at which version a stream of unknown start began. */
export const VersionProof = {
  /** The row of the store's present era lists a single version. */
  listed: 'listed',
  /** It lists a single version that was listed before the last end of a box's life, and no running box knows the stream. */
  listedBeforeLifeEnds: 'listedBeforeLifeEnds',
  /** The row may lack versions that a restore has lost; it and what boxes have seen that outlast a stream name a single one. */
  listedBeforeRestore: 'listedBeforeRestore',
  /** All boxes have seen a single version, one of them for longer than a stream lasts. */
  boxes: 'boxes',
} as const;
export type VersionProof = (typeof VersionProof)[keyof typeof VersionProof];

/** A request that takes a stream up, until this box knows at which version the stream began. */
export interface TakeUpLookup {
  request: PendingRequest;
  /** Undefined if the caller does not name the request that began the stream. */
  key: string | undefined;
  service: string;
  sinceMs: number;
  untilMs: number;
  /** Boxes whose answer is awaited. */
  awaited: Set<string>;
  /** Versions of the service that other boxes have seen. */
  versions: Set<string>;
  table: TableLookup;
}

/** Prefix of the rows of this concept in the shared table. */
export const STREAM_ROWS_PREFIX = 'streams/';
/** Key of the row with the versions at which streams may have begun. */
export const SERVED_VERSIONS_KEY = `${STREAM_ROWS_PREFIX}versions`;

/** Returns the key of the row with the streams of a box. */
export function streamStartsKey(boxId: string): string {
  return `${STREAM_ROWS_PREFIX}of/${boxId}`;
}

/** A software version in the registry. */
export interface ServedVersion {
  /** Time at which it was last there. */
  seenAtMs: number;
  isPresent: boolean;
}

/** Row of the streams of a box; the times left count from `storeNowMs`. */
export interface StreamStartsRow {
  storeNowMs: number;
  starts: readonly StreamStartRow[];
}

/**
 * Versions of a service, each with the store's time at which its last server was gone; null while it
 * serves.
 */
export type VersionEnds = Readonly<Record<string, number | null>>;

/** Row of the versions at which streams may have begun. No box relays a stream's first event before its version is listed. */
export interface ServedVersionsRow {
  services: Readonly<Record<string, VersionEnds>>;
  /**
   * Store's time by service and version before which no stream can have begun there; missing for a version of which
   * that is not known, and from older boxes.
   */
  listedAtMs?: Readonly<Record<string, Readonly<Record<string, number>>>> | undefined;
  /** Era of the store in which the row was written; missing from older boxes. */
  era?: number | undefined;
  /** Store's time of its first write there; missing if the row was never restored. */
  eraSinceMs?: number | undefined;
  /** Store's time from which on the row lists all versions; missing if no restore is known that no box has outlasted. */
  completeSinceMs?: number | undefined;
}

/** What a box knows of streams and the versions at which they began. */
export interface StreamVersions {
  starts: Map<string, StreamStart>;
  /** Versions of each service that were in the registry lately. */
  served: Map<string, Map<string, ServedVersion>>;
  /** Time after which no caller takes up a stream any more, in ms from its begin. */
  retentionMs: number;
  /** That time by the configuration in force, if it is shorter, and from when on it holds. */
  nextRetention: { retentionMs: number; fromMs: number } | undefined;
  /** Times at which the versions were last checked, and streams last removed. */
  checkedAtMs: number;
  prunedAtMs: number;
  lookups: TakeUpLookup[];
  /** Requests whose look-up has ended. */
  resolved: { request: PendingRequest; takeUp: TakeUp }[];
  /** The last read of the rows: its time, and whether its answer is awaited; a wanted one is still to be made. */
  read: { sentAtMs: number; isPending: boolean; isWanted: boolean };
  ownRow: OwnStreamsRow;
  versionsRow: VersionsRowState;
  /** Attempts whose first event waits until its version is listed. */
  awaitingListing: ListingWait[];
  /** Versions at which streams have begun although they were not listed, by service. */
  begunUnlisted: Map<string, Set<string>>;
  /** Versions of which this box has forgotten starts, by service. */
  forgotten: Map<string, Set<string>>;
  /** Time at which a start was last dropped because there were too many. */
  droppedAtMs: number;
  /** Streams of an earlier life of this box, as its row names them. */
  cutStreams: readonly CutStream[];
}

/** The row with the streams of this box. */
export interface OwnStreamsRow {
  version: number;
  /** Time of the last write, and whether it failed. */
  writtenAtMs: number;
  hasFailed: boolean;
  isPending: boolean;
  /** Whether streams have begun, or requests for them were sent, since the last write. */
  isOutdated: boolean;
  /** Versions of the streams that the last write names, and that the row of the table named after the last one that was done; by key. */
  sentVersions: ReadonlyMap<string, string>;
  heldVersions: ReadonlyMap<string, string>;
}

/** The versions row as last known. */
export interface VersionsRowState {
  version: number;
  services: Readonly<Record<string, VersionEnds>>;
  listedAtMs: Readonly<Record<string, Readonly<Record<string, number>>>>;
  era: number | undefined;
  eraSinceMs: number | undefined;
  completeSinceMs: number | undefined;
  /** Latest of these times in any row that this box has known: a later copy may be older than what the boxes knew of the one before. */
  lostUntilMs: number | undefined;
  /** Whether this box has known a row that was written in the store's era of that time, which outlasts a restore. */
  wasKnownInEra: boolean;
  /** Time up to which this is the row of the table. */
  knownAtMs: number;
  writtenAtMs: number;
  isPending: boolean;
  /** Set since when the row may have to be written. */
  outdatedSinceMs: number | undefined;
  /** Times at which a wait for the row last ended without the version, by service. */
  missedAtMs: Map<string, number>;
}

/** An attempt whose first event waits until its version is listed, and the row of this box does not name its stream at another one. */
export interface ListingWait {
  attemptId: number;
  service: string;
  version: string;
  /** Key of a stream that the row of this box may name at another version. */
  keyToCorrect: string | undefined;
  untilMs: number;
}

/** Returns the state of a box that has just started. */
export function createStreamVersions(): StreamVersions {
  return {
    starts: new Map(),
    served: new Map(),
    retentionMs: MIN_STREAM_RETENTION_MS,
    nextRetention: undefined,
    checkedAtMs: Number.NEGATIVE_INFINITY,
    prunedAtMs: Number.NEGATIVE_INFINITY,
    lookups: [],
    resolved: [],
    read: { sentAtMs: Number.NEGATIVE_INFINITY, isPending: false, isWanted: false },
    ownRow: {
      version: 0,
      writtenAtMs: Number.NEGATIVE_INFINITY,
      hasFailed: false,
      isPending: false,
      isOutdated: false,
      sentVersions: new Map(),
      heldVersions: new Map(),
    },
    versionsRow: {
      version: 0,
      services: {},
      listedAtMs: {},
      era: undefined,
      eraSinceMs: undefined,
      completeSinceMs: undefined,
      lostUntilMs: undefined,
      wasKnownInEra: false,
      knownAtMs: Number.NEGATIVE_INFINITY,
      writtenAtMs: Number.NEGATIVE_INFINITY,
      isPending: false,
      outdatedSinceMs: undefined,
      missedAtMs: new Map(),
    },
    awaitingListing: [],
    begunUnlisted: new Map(),
    forgotten: new Map(),
    droppedAtMs: Number.NEGATIVE_INFINITY,
    cutStreams: [],
  };
}
