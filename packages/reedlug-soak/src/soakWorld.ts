/** Environment of a run: store, cloud, servers and boxes. Proxies carry the links to the store and to the servers. */
import type { CloudStandin, EngineStandin, StoreStandin } from 'reedlug-platform/standins';
import type { BoxLinks } from './boxLinks.js';
import type { BoxProcess } from './boxProcess.js';
import type { CallTarget } from './callers.js';
import type { FaultProxy } from './faultProxy.js';

/** A server that may crash and restart, under a new id or its own. */
export interface SoakServer {
  standin: EngineStandin;
  proxy: FaultProxy;
  service: string;
  zone: string;
  /** Software version of its next incarnation; undefined for none. */
  version: string | undefined;
  incarnationCount: number;
  bornAtMs: number;
  failureMode: 'fail' | 'lose' | 'refuse' | undefined;
}

/** A box process with its addresses and its link to the store. */
export interface SoakBox {
  process: BoxProcess;
  logPath: string;
  target: CallTarget;
  readiness: CallTarget;
  storeLink: FaultProxy;
  serverLinks: BoxLinks;
}

/** Components that faults act on, and the state of the load. */
export interface SoakWorld {
  store: StoreStandin;
  cloud: CloudStandin;
  /** Names of the availability zones. */
  zones: readonly string[];
  servers: SoakServer[];
  boxes: SoakBox[];
  version: number;
  keys: string[];
  /** Interval between the requests of the crashing caller, in ms; undefined until it starts. */
  crashingIntervalMs: number | undefined;
  /** Called with each server that receives the crashing request. */
  onCrashingRequest: (server: SoakServer) => void;
  /** Called with each server that receives a prompt with the part that crashes servers. */
  onCrashingPart: (server: SoakServer) => void;
  /** Time until the first event of streams with prompt parts, in ms, and whether they end with their connections. */
  partFirstEventMs: number;
  partsEndWithConnection: boolean;
  /** Processing time of a plain request, in ms. */
  plainRequestMs: (requestId: string) => number;
  /** Time-out of the routes of plain requests, in ms; that of the stand-in if undefined. */
  plainTimeoutMs: number | undefined;
  /** Stand-ins of all server incarnations in the run, kept for their arrivals. */
  allStandins: EngineStandin[];
}

/** Returns the zone of a server or box by its index. */
export function zoneOf({ zones }: SoakWorld, index: number): string {
  return zones[index % zones.length] ?? '';
}
