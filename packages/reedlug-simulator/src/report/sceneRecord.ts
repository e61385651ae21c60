/** The record of a run: outcomes of requests, costs, and broken guarantees. */
import type { Histogram } from 'hdr-histogram-js';
import type { CallerRequest } from '../callers/callerAttempt.js';
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { createDutyRecord, type DutyRecord } from './dutyRecord.js';
import type { PromptRecord } from './largestPrompts.js';
import { createOutcomes, type Outcomes } from './outcomes.js';
import type { TimedAmount } from './slidingSum.js';
import { createStreamRecord, type StreamRecord } from './streamRecord.js';
import { createWorkspaceRecord, type WorkspaceRecord } from './workspaceRecord.js';
import { createHistogram } from './histogram.js';

/** A broken guarantee. */
export interface BrokenGuarantee {
  promise: string;
  detail: string;
}

/** The record of a request or a part of prompts that crashes servers. */
export interface CrashingRequestRecord {
  /** World times at which it crashed servers. */
  endedAtMs: number[];
  /** World times at which it reached a server after a synchronized box sent it. */
  sentAtMs: number[];
  /** Set for a part of prompts: the class whose requests hold it, and the world time until which they come. */
  part: { className: string; untilMs: number } | undefined;
}

/** A server that stated a limit, and the requests that it received. */
export interface LimitedServerRecord {
  server: VirtualServer;
  /** Its successive limits, in requests per second. */
  periods: { fromMs: number; perSecond: number }[];
  /** World times at which an answer first stated a limit, and at which the limit ended. */
  firstStatedAtMs: number | undefined;
  endedAtMs: number | undefined;
  /** World time at which each box first forwarded such an answer. */
  forwardedAtMs: Map<VirtualBox, number>;
  /** Requests that reached it, and whether the limit bound the boxes that sent them. */
  arrivals: { atMs: number; isBound: boolean }[];
}

/** A server that announces draining or requests a pause, and the requests that it received. */
export interface ServerStatementRecord {
  server: VirtualServer;
  /** World time at which each box first received an answer that announces draining. */
  drainingStatedAtMs: Map<VirtualBox, number>;
  /** Pauses that the server requested from boxes. */
  pauses: { atMs: number; pauseMs: number; box: VirtualBox }[];
  /** Requests that reached it, and when they had reached the box. */
  arrivals: { atMs: number; callerSentAtMs: number; box: VirtualBox }[];
}

/** A refusal by a limit. */
export interface LimitRefusalRecord {
  request: CallerRequest;
  atMs: number;
  units: number;
  /** Whether the caller gave up on it. */
  isFinal: boolean;
}

/** The record of a run. */
export interface SceneRecord {
  whole: Outcomes;
  byClass: Map<string, Outcomes>;
  byZone: Map<string, Outcomes>;
  /** Outcomes by workspace and by workspace and class, and work by span and workspace. */
  workspaces: WorkspaceRecord;
  bySpan: Map<number, Outcomes>;
  /** Requests with a prompt that did not leave early. */
  prompts: PromptRecord[];
  refusedBy: Map<string, number>;
  failedBy: Map<string, number>;
  firstEventMs: Map<string, Histogram>;
  heldUnservedMs: Histogram;
  /** Numbers of late answers by cause. */
  lateByFirstEvent: number;
  lateByGap: number;
  /**
   * Engine-seconds by kind; `priced` weights them by the price of the zone and the price share of
   * reclaimable engines.
   */
  engineSeconds: { onDemand: number; reclaimable: number; priced: number };
  orders: number;
  datagrams: number;
  readTokens: number;
  readSharedTokens: number;
  /** Requests and repeats by service, and units by workspace, each with their times. */
  requests: Map<string, TimedAmount[]>;
  repeats: Map<string, TimedAmount[]>;
  units: Map<string, TimedAmount[]>;
  /** All requests, and the tries that a limit refused. */
  asked: CallerRequest[];
  limitRefusals: LimitRefusalRecord[];
  /** Requests that crash servers by digest, and parts of prompts that do. */
  endings: Map<string, CrashingRequestRecord>;
  limitedServers: LimitedServerRecord[];
  statingServers: Map<VirtualServer, ServerStatementRecord>;
  duties: DutyRecord;
  streams: StreamRecord;
  broken: BrokenGuarantee[];
  /** Numbers of exceptions that ended parts of steps, by type of event. */
  exceptions: Map<string, number>;
  logs: Map<string, number>;
  /** Called for each log line, to inspect a single run. */
  onLog: (line: LogLine) => void;
}

/** A line of a box's log. */
export interface LogLine {
  /** World time from the first caller, in s. */
  atS: number;
  boxId: string;
  event: string;
  fields: Readonly<Record<string, string | number | boolean>>;
}

/** Returns an empty record. */
export function createSceneRecord(): SceneRecord {
  return {
    whole: createOutcomes(),
    byClass: new Map(),
    byZone: new Map(),
    workspaces: createWorkspaceRecord(),
    bySpan: new Map(),
    prompts: [],
    refusedBy: new Map(),
    failedBy: new Map(),
    firstEventMs: new Map(),
    heldUnservedMs: createHistogram(),
    lateByFirstEvent: 0,
    lateByGap: 0,
    engineSeconds: { onDemand: 0, reclaimable: 0, priced: 0 },
    orders: 0,
    datagrams: 0,
    readTokens: 0,
    readSharedTokens: 0,
    requests: new Map(),
    repeats: new Map(),
    units: new Map(),
    asked: [],
    limitRefusals: [],
    endings: new Map(),
    limitedServers: [],
    statingServers: new Map(),
    duties: createDutyRecord(),
    streams: createStreamRecord(),
    broken: [],
    exceptions: new Map(),
    logs: new Map(),
    onLog: () => undefined,
  };
}
