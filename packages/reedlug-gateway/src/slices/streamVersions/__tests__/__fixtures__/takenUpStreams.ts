/** Streams at a box that callers take up. */
import {
  createServingBox,
  facts,
  listBoxes,
  only,
  peerMessage,
  server,
  type TestBox,
} from '../../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../../types/effect.js';
import type { RequestFacts } from '../../../../types/request.js';
import type { ServerEntry } from '../../../../types/server.js';

/** Changes entries of the engines, which are added if they are new. */
export function listEngines(
  box: TestBox,
  entries: Readonly<Record<string, Partial<ServerEntry>>>,
): void {
  const changes = Object.entries(entries).map(([id, changed]) => ({
    id,
    entry: server(id, { service: 'engines', ...changed }),
  }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
}

/** Creates a box with two engines of each of two versions. */
export function createBoxWithTwoVersions(): TestBox {
  const box = createServingBox();
  listEngines(box, {
    'engine-1': { version: 'v1', bornAtMs: 1 },
    'engine-2': { version: 'v1', bornAtMs: 1 },
    'engine-3': { version: 'v2', bornAtMs: 1 },
    'engine-4': { version: 'v2', bornAtMs: 1 },
  });
  return box;
}

/** Advances the clock with ticks often enough that the box does not seem to have stood still. */
export function passWithoutStall(box: TestBox, ms: number): void {
  for (let passedMs = 0; passedMs < ms; passedMs += 900) box.pass(900);
}

/** Lists a peer that the box has heard of. */
export function addPeer(box: TestBox): void {
  const { host, port, boxId, zone, processorCores } = peerMessage();
  listBoxes(box, [{ host, port, boxId, zone, processorCores }]);
  box.take({ type: 'peerMessage', message: peerMessage() });
}

/** Sends a request for a stream to the box. */
export function request(
  box: TestBox,
  exchangeId: number,
  changes: Partial<RequestFacts> = {},
): Effect[] {
  const requestId = `request-${exchangeId}`;
  const stream = facts({ requestId, path: '/draft/1', deadlineMs: 8000, ...changes });
  return box.take({ type: 'requestArrived', exchangeId, facts: stream });
}

/** Begins a stream and returns the version of its server. */
export function begin(box: TestBox, exchangeId: number): string | undefined {
  const { attemptId, order } = only(request(box, exchangeId), 'send');
  box.take({ type: 'attemptAnswered', exchangeId, attemptId, verdict: 'success', status: 200 });
  box.take({ type: 'eventsRelayed', exchangeId, attemptId, lastEventId: 3 });
  return versionOf(box, order.serverId);
}

/** Takes a stream up after its third event. */
export function takeUp(
  box: TestBox,
  exchangeId: number,
  resumedRequestId: string | undefined,
): Effect[] {
  return request(box, exchangeId, {
    lastEventId: 3,
    ...(resumedRequestId === undefined ? {} : { resumedRequestId }),
  });
}

/** Returns the version of a server as its entry tells. */
export function versionOf(box: TestBox, serverId: string): string | undefined {
  return box.state.servers.get(serverId)?.entry.version;
}
