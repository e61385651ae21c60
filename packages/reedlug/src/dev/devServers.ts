/** The stand-in backend servers of `reedlug dev`, and the box list that contains them. */
import {
  ServerKind,
  type BoxListEntry,
  type CloudRequest,
  type ServerSpec,
} from 'reedlug-decisions';
import {
  startEngineServer,
  startServiceServer,
  type EngineServer,
  type ServiceServer,
} from 'reedlug-standins';
import type { Settings } from '../settings/settingsTypes.js';

/** One stand-in server. */
export type DevServer = { spec: ServerSpec; incarnation: number; leaving: boolean } & (
  { kind: 'engine'; running: EngineServer } | { kind: 'service'; running: ServiceServer }
);

/** Starts a stand-in engine. */
export async function startDevEngine(
  settings: Settings,
  spec: Omit<ServerSpec, 'address'>,
  incarnation: number,
): Promise<DevServer> {
  const { kvCapacityTokens, prefillTokensPerMs, interTokenMs, crowding } = settings.standins;
  const running = await startEngineServer({
    options: {
      engineId: spec.id,
      model: spec.pool,
      version: spec.version,
      slots: spec.slots,
      kvCapacityTokens,
      prefillTokensPerMs,
      interTokenMs,
      crowding,
      tokensPerEvent: 1,
    },
    port: 0,
    checksFence: spec.checksFence,
    incarnation,
  });
  const { address } = running.server;
  return { kind: 'engine', spec: { ...spec, address }, incarnation, leaving: false, running };
}

/** Starts a stand-in of a plain service. */
export async function startDevService(
  settings: Settings,
  spec: Omit<ServerSpec, 'address'>,
  incarnation: number,
): Promise<DevServer> {
  const answerMs = settings.standins.serviceAnswerMs;
  const running = await startServiceServer({ port: 0, incarnation, answerMs });
  const { address } = running.server;
  return { kind: 'service', spec: { ...spec, address }, incarnation, leaving: false, running };
}

/** Returns the spec of an engine that the cloud is requested to start. */
export function startedEngineSpec(
  settings: Settings,
  request: Extract<CloudRequest, { kind: 'start' }>,
): Omit<ServerSpec, 'address'> {
  const pool = settings.pools.find(({ model }) => model === request.pool);
  return {
    id: request.startToken,
    kind: ServerKind.engine,
    zone: request.zone,
    pool: request.pool,
    version: pool?.version ?? '',
    slots: pool?.slotsPerEngine ?? 8,
    machineClass: request.machineClass,
    reclaimable: request.reclaimable,
    checksFence: pool?.checksFence ?? true,
  };
}

/** Returns the current box list. */
export function boxListOf(servers: Iterable<DevServer>): BoxListEntry[] {
  return [...servers].map(({ spec, incarnation, leaving }) => ({ spec, incarnation, leaving }));
}
