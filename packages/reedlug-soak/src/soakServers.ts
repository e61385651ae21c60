/** Servers of a run, and the entries and incarnations of each. */
import {
  enterServer,
  startEngineStandin,
  type Behaviour,
  type EngineStandin,
} from 'reedlug-platform/standins';
import { findFreePorts } from 'reedlug-standins';
import { openFaultProxy } from './faultProxy.js';
import { expectedBody } from './guarantees.js';
import { zoneOf, type SoakServer, type SoakWorld } from './soakWorld.js';
import { PROMPT_PARTS_HEADER } from './streamCallers.js';

/**
 * Number of events of a draft, and the interval between them, in ms. A stream lasts over a second,
 * so that faults occur during it.
 */
export const DRAFT_EVENTS = 24;
const EVENT_GAP_MS = 50;
/** Processing time of a plain request, in ms: that of the users' look-ups. */
export const PLAIN_REQUEST_MS = 20;
/** Path of the crashing request, and the response time of a server that does not crash, in ms. */
export const CRASHING_PATH = '/lookup/crash';
const CRASHING_RESPONSE_MS = 2000;
/** Part of prompts that crashes servers, and number of events of streams with prompt parts. */
export const CRASHING_PART = 'dead01';
export const PART_STREAM_EVENTS = 12;

/** Starts a server of a service, and enters it in the registry. */
export async function startServer(
  world: SoakWorld,
  service: string,
  version: string | undefined,
): Promise<SoakServer> {
  const [port = 0] = await findFreePorts(1);
  const serverIndex = world.servers.length;
  const getServer = (): SoakServer => server;
  const server: SoakServer = {
    standin: await startIncarnation(world, {
      getServer,
      service,
      version,
      serverIndex,
      incarnation: 0,
    }),
    proxy: await openFaultProxy({
      host: '127.0.0.1',
      port,
      target: () => addressOf(server.standin),
    }),
    service,
    zone: zoneOf(world, serverIndex),
    version,
    incarnationCount: 1,
    bornAtMs: Date.now(),
    failureMode: undefined,
  };
  registerServer(world, server, false);
  return server;
}

function startIncarnation(
  world: SoakWorld,
  params: {
    getServer: () => SoakServer;
    service: string;
    version: string | undefined;
    serverIndex: number;
    incarnation: number;
  },
): Promise<EngineStandin> {
  const { getServer, service, version, serverIndex, incarnation } = params;
  const id = `${service}-${serverIndex}-${incarnation}`;
  const behaviour = (
    requestId: string,
    path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): Behaviour => {
    const { failureMode } = getServer();
    if (path === CRASHING_PATH) {
      world.onCrashingRequest(getServer());
      return { kind: 'answer', body: '', afterMs: CRASHING_RESPONSE_MS };
    }
    if (failureMode !== undefined) return { kind: failureMode };
    const promptParts = String(headers[PROMPT_PARTS_HEADER] ?? '');
    if (promptParts !== '') {
      if (promptParts.includes(CRASHING_PART)) world.onCrashingPart(getServer());
      return {
        kind: 'slowStream',
        events: PART_STREAM_EVENTS,
        gapMs: EVENT_GAP_MS,
        firstAfterMs: world.partFirstEventMs,
        endsWithConnection: world.partsEndWithConnection,
      };
    }
    if (service === 'drafts') {
      return { kind: 'slowStream', events: DRAFT_EVENTS, gapMs: EVENT_GAP_MS };
    }
    return {
      kind: 'answer',
      body: expectedBody(requestId),
      afterMs: world.plainRequestMs(requestId),
    };
  };
  return startEngineStandin(id, behaviour, version).then((standin) => {
    world.allStandins.push(standin);
    return standin;
  });
}

function addressOf({ address }: EngineStandin): { host: string; port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** Writes the registry entry of a server, with the address of its proxy. */
export function registerServer(world: SoakWorld, server: SoakServer, leaving: boolean): void {
  const { standin, service, zone, proxy, bornAtMs } = server;
  const address = `127.0.0.1:${proxy.port}`;
  const { id, version } = standin;
  enterServer(world.store, { id, address, service, leaving, bornAtMs, version, zone });
}

/** Starts the next incarnation of a server, under a new id or its current one. */
export async function startNextIncarnation(
  world: SoakWorld,
  server: SoakServer,
  keepsId: boolean,
): Promise<void> {
  const serverIndex = world.servers.indexOf(server);
  const incarnation = keepsId ? server.incarnationCount - 1 : server.incarnationCount;
  const { service, version } = server;
  const getServer = (): SoakServer => server;
  const identity = { getServer, service, version, serverIndex, incarnation };
  server.standin = await startIncarnation(world, identity);
  server.incarnationCount = incarnation + 1;
  server.bornAtMs = Date.now();
  registerServer(world, server, false);
}
