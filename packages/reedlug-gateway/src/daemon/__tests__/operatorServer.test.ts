import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createServingBox } from '../../__tests__/__fixtures__/box.js';
import { createGatewayMetrics } from '../../observe/gatewayMetrics.js';
import type { EventBody } from '../../types/event.js';
import { createOperatorServer } from '../operatorServer.js';

const KEY = 'tiger/a+b/c';

/** Runs a test against the operator server of a box that blocks one request; `emitted` collects the box's events. */
async function withOperatorServer(
  use: (url: string, emitted: EventBody[]) => Promise<void>,
): Promise<void> {
  const { state } = createServingBox();
  state.crashSuspects.set(KEY, {
    key: KEY,
    crashes: [],
    goodRunAtMs: Number.NEGATIVE_INFINITY,
    blockedSinceMs: 1000,
    evaluationDueAtMs: undefined,
    seenAtMs: 1000,
  });
  const emitted: EventBody[] = [];
  const clock = { nowMs: () => 3000, pause: () => Promise.resolve() };
  const server = createOperatorServer({
    state,
    clock,
    metrics: createGatewayMetrics(),
    logger: () => undefined,
    emit: (body) => emitted.push(body),
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await use(`http://127.0.0.1:${port}`, emitted);
  server.close();
  server.closeAllConnections();
}

test('operators see the blocked requests', () =>
  withOperatorServer(async (url) => {
    const verdicts: unknown = await (await fetch(`${url}/verdicts`)).json();
    expect(verdicts).to.deep.equal([{ key: KEY, crashes: 0, keptOutForMs: 2000 }]);
  }));

test('a verdict is lifted by its key; an unknown key is not found', () =>
  withOperatorServer(async (url, emitted) => {
    const lift = (key: string, method = 'DELETE') =>
      fetch(`${url}/verdicts/${encodeURIComponent(key)}`, { method });
    expect((await lift('tiger/other')).status).to.equal(404);
    expect((await lift(KEY, 'POST')).status).to.equal(405);
    expect((await fetch(`${url}/verdicts/%zz`, { method: 'DELETE' })).status).to.equal(404);
    expect(emitted).to.deep.equal([]);
    expect((await lift(KEY)).status).to.equal(204);
    expect(emitted).to.deep.equal([{ type: 'verdictLifted', key: KEY }]);
  }));

test('any other path returns the metrics', () =>
  withOperatorServer(async (url) => {
    const text = await (await fetch(`${url}/metrics`)).text();
    expect(text).to.include('reedlug');
    expect(text).to.include('reedlug_feed_age_ms{of="registry"} -1');
    // `//` alone is not a valid URL and must not crash the process.
    expect(await (await fetch(`${url}//`)).text()).to.include('reedlug');
  }));
