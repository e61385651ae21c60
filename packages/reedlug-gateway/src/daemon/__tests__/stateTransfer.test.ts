import type { RequestListener } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { gzipSync } from 'node:zlib';
import { expect } from 'chai';
import { configuration, createServingBox } from '../../__tests__/__fixtures__/box.js';
import { sharedStateOf } from '../../slices/peers/sharedState.js';
import type { Configuration } from '../../types/configuration.js';
import type { HostPort } from '../../types/server.js';
import { decoder, encoder } from '../peerWire.js';
import { largeConfiguration } from './__fixtures__/largeConfiguration.js';
import {
  createRequestingBox,
  IDLE_TIMEOUT_MS,
  startAnsweringBox,
  type AnsweringBox,
} from './__fixtures__/stateBoxes.js';

/** Runs a test with a box that has some versions, the latest last. */
async function withAnsweringBox(
  versions: readonly Configuration[],
  use: (box: AnsweringBox) => Promise<void>,
  bytesPerMs?: number,
): Promise<void> {
  const box = await startAnsweringBox(versions, bytesPerMs);
  try {
    await use(box);
  } finally {
    box.close();
  }
}

/** Ends the connection after the first half of the answer. */
function breakingOff({ handler }: AnsweringBox): RequestListener {
  return (request, response) => {
    const write = response.write.bind(response) as (chunk: Buffer) => boolean;
    response.write = ((chunk: Buffer) => {
      write(chunk.subarray(0, Math.floor(chunk.length / 2)));
      setTimeout(() => request.socket.destroy(), 20);
      return true;
    }) as typeof response.write;
    handler(request, response);
  };
}

const eventsOf = (lines: readonly (readonly [string, unknown])[]): string[] =>
  lines.map(([event]) => event);

/** Starts four transfers, as many as a box serves at a time, and returns what aborts them. */
async function startFourTransfers({ host, port }: HostPort): Promise<AbortController> {
  const leave = new AbortController();
  const open = Array.from({ length: 4 }, () =>
    fetch(`http://${host}:${port}/configuration?after=0`, { signal: leave.signal }),
  );
  await Promise.all(open);
  return leave;
}

test('a box that has the version before receives a compressed delta, and others the whole', () =>
  withAnsweringBox([largeConfiguration(1, 300), largeConfiguration(2, 310)], async (box) => {
    const next = largeConfiguration(2, 310);
    const behind = createRequestingBox(largeConfiguration(1, 300));
    await behind.get(box.address, 2);
    expect(behind.configuration()).to.deep.equal(next);
    const fresh = createRequestingBox();
    await fresh.get(box.address, 2);
    expect(fresh.configuration()).to.deep.equal(next);
    const forms = [...behind.lines, ...fresh.lines].map(([, { form }]) => form);
    expect(forms).to.deep.equal(['delta', 'whole']);
    expect(box.requests.map(({ headers }) => headers['accept-encoding'])).to.deep.equal([
      'gzip',
      'gzip',
    ]);
  }));

test('a version is encoded once for all boxes that request it', () =>
  withAnsweringBox([largeConfiguration(2, 300)], async (box) => {
    const boxes = [1, 2, 3].map(() => createRequestingBox());
    await Promise.all(boxes.map((requesting) => requesting.get(box.address, 2)));
    expect(eventsOf(box.lines)).to.deep.equal(['configurationEncoded']);
  }));

test('a transfer that breaks off is resumed from where it was', () =>
  withAnsweringBox([largeConfiguration(2, 100)], async (box) => {
    box.answerWith(breakingOff(box));
    const requesting = createRequestingBox();
    const ended = requesting.get(box.address, 2);
    await delay(60);
    box.answerWith(undefined);
    await ended;
    expect(requesting.configuration()).to.deep.equal(largeConfiguration(2, 100));
    const [[, fields] = []] = requesting.lines;
    expect(fields?.['resumedFrom']).to.be.above(0);
    const last = box.requests.at(-1)?.headers;
    expect(last?.range).to.equal(`bytes=${fields?.['resumedFrom']}-`);
  }));

test('a transfer during which the version changes restarts with the newer version', () =>
  withAnsweringBox([largeConfiguration(2, 100)], async (box) => {
    box.answerWith(breakingOff(box));
    const requesting = createRequestingBox();
    const ended = requesting.get(box.address, 2);
    await delay(60);
    box.configurations.record(largeConfiguration(3, 120));
    box.answerWith(undefined);
    await ended;
    expect(requesting.configuration()).to.deep.equal(largeConfiguration(3, 120));
    expect(requesting.lines.at(-1)?.[1]['resumedFrom']).to.equal(0);
  }));

test('a transfer from a box that has ended fails, and the rest comes from another box with the same bytes', () =>
  withAnsweringBox([largeConfiguration(2, 100)], (box) =>
    withAnsweringBox([largeConfiguration(2, 100)], async (other) => {
      box.answerWith(breakingOff(box));
      const requesting = createRequestingBox();
      await requesting.get(box.address, 2);
      expect(requesting.configuration()).to.equal(undefined);
      expect(requesting.failures).to.have.length(1);
      expect(requesting.failures[0]).to.include({ version: 2, peer: box.address });
      await requesting.get(other.address, 2);
      expect(requesting.configuration()).to.deep.equal(largeConfiguration(2, 100));
      expect(requesting.lines.at(-1)?.[1]['resumedFrom']).to.be.above(0);
    }),
  ));

test('a box that does not listen is given up at once', async () => {
  const box = await startAnsweringBox([configuration()]);
  box.close();
  const requesting = createRequestingBox();
  await requesting.get(box.address, 1);
  expect(requesting.failures[0]?.reason).to.include('ECONNREFUSED');
});

test('a box with an address that no connection can use fails the transfer and blocks no later one', () =>
  withAnsweringBox([largeConfiguration(1, 300)], async (box) => {
    const requesting = createRequestingBox();
    const invalid = { host: '127.0.0.1', port: 99_999 };
    await requesting.get(invalid, 1);
    expect(requesting.failures).to.have.length(1);
    expect(await requesting.fetcher.requestRegistry(invalid)).to.equal(undefined);
    await requesting.get(box.address, 1);
    expect(requesting.configuration()?.version).to.equal(1);
  }));

test('malformed answers are dropped with a line, and nothing of them is applied', () =>
  withAnsweringBox([configuration()], async (box) => {
    const [first, ...others] = configuration().routes;
    const withoutHost = {
      ...configuration({ version: 2 }),
      routes: [...others, { ...first, host: 7 }],
    };
    const bodies = [
      { encoding: 'gzip', bytes: Buffer.from('not compressed') },
      { encoding: 'gzip', bytes: gzipSync(Buffer.from([0xff, 0x00])) },
      { encoding: 'identity', bytes: encoder.encode(['a list']) },
      { encoding: 'identity', bytes: encoder.encode({ configuration: withoutHost }) },
      { encoding: 'identity', bytes: encoder.encode({ delta: { baseVersion: 1 }, digest: '' }) },
    ];
    for (const { encoding, bytes } of bodies) {
      box.answerWith((_request, response) => {
        response.writeHead(200, { 'content-encoding': encoding, etag: '"x"' });
        response.end(bytes);
      });
      const requesting = createRequestingBox(configuration());
      await requesting.get(box.address, 2);
      expect(requesting.configuration()).to.deep.equal(configuration());
      expect(requesting.failures).to.have.length(1);
      const malformed = Array<string>(3).fill('peerAnswerMalformed');
      expect(eventsOf(requesting.lines)).to.deep.equal(malformed);
    }
  }));

test('a box whose version has another content than that of the answering box receives the whole', () =>
  withAnsweringBox([largeConfiguration(1, 100), largeConfiguration(2, 110)], async (box) => {
    const requesting = createRequestingBox(configuration());
    await requesting.get(box.address, 2);
    expect(requesting.configuration()).to.deep.equal(largeConfiguration(2, 110));
    const events = eventsOf(requesting.lines);
    expect(events).to.deep.equal(['configurationDeltaDropped', 'configurationReceived']);
  }));

test('a transfer is abandoned when no bytes arrive, not when it takes long', () =>
  withAnsweringBox(
    [largeConfiguration(2, 2000)],
    async (box) => {
      // Some 56 KB in chunks of 8 KB, each of which takes 102 ms.
      const slow = createRequestingBox();
      const startedAtMs = performance.now();
      await slow.get(box.address, 2);
      expect(performance.now() - startedAtMs).to.be.above(IDLE_TIMEOUT_MS);
      expect(slow.failures).to.deep.equal([]);
      box.answerWith((_request, response) => void response.writeHead(200).flushHeaders());
      const stalled = createRequestingBox();
      await stalled.get(box.address, 2);
      expect(stalled.failures[0]?.reason).to.equal(`no bytes for ${IDLE_TIMEOUT_MS} ms`);
    },
    80,
  ));

test('further transfers are refused while some are in progress, and succeed after a short delay', () =>
  withAnsweringBox(
    [largeConfiguration(2, 1000)],
    async (box) => {
      const boxes = Array.from({ length: 8 }, () => createRequestingBox());
      await Promise.all(boxes.map((requesting) => requesting.get(box.address, 2)));
      for (const { failures } of boxes) expect(failures).to.deep.equal([]);
      expect(box.requests.length).to.be.above(8);
    },
    300,
  ));

test('a box that leaves during its transfer keeps no place', () =>
  withAnsweringBox(
    [largeConfiguration(2, 3000)],
    async (box) => {
      const { host, port } = box.address;
      const leave = await startFourTransfers(box.address);
      const refused = await fetch(`http://${host}:${port}/configuration?after=0`);
      expect(refused.status).to.equal(503);
      leave.abort();
      await delay(50);
      const requesting = createRequestingBox();
      await requesting.get(box.address, 2);
      expect(requesting.failures).to.deep.equal([]);
    },
    400,
  ));

test('a busy box refers others to a box that has the version, if they know it', () =>
  withAnsweringBox([largeConfiguration(2, 50)], (holder) =>
    withAnsweringBox([largeConfiguration(2, 50)], async (box) => {
      const { host, port } = holder.address;
      box.answerWith((_request, response) => {
        response.writeHead(503, { 'configuration-holder': `${host}:${port}` }).end();
      });
      const stranger = createRequestingBox(undefined, [holder.address]);
      const ended = stranger.get(box.address, 2);
      const requesting = createRequestingBox();
      await requesting.get(box.address, 2);
      expect(requesting.configuration()?.version).to.equal(2);
      expect(holder.requests).to.have.length(1);
      box.answerWith(undefined);
      await ended;
      expect(holder.requests).to.have.length(1);
    }),
  ));

test('there is at most one transfer at a time, however often a version is announced', () =>
  withAnsweringBox([largeConfiguration(2, 50)], async (box) => {
    const requesting = createRequestingBox();
    const ended = requesting.get(box.address, 2);
    for (let count = 0; count < 5; count += 1) {
      requesting.fetcher.requestConfiguration(box.address, 2 + count);
    }
    await ended;
    expect(box.requests).to.have.length(1);
  }));

test('a box passes on the bytes that it received, without encoding them again', () =>
  withAnsweringBox([largeConfiguration(2, 50)], async (box) => {
    const body = await box.configurations.bodyFor({ afterVersion: 0, acceptsGzip: true });
    if (body === undefined) throw new Error('no body');
    await withAnsweringBox([configuration(), largeConfiguration(2, 50)], async (other) => {
      other.configurations.adopt({ version: 2, baseVersion: 1, body });
      for (const initial of [undefined, configuration()]) {
        const requesting = createRequestingBox(initial);
        await requesting.get(other.address, 2);
        expect(requesting.configuration()).to.deep.equal(largeConfiguration(2, 50));
      }
      expect(other.lines).to.deep.equal([]);
    });
  }));

test('older boxes receive what they received before, however many transfers are in progress', () =>
  withAnsweringBox(
    [largeConfiguration(2, 1000)],
    async (box) => {
      const { host, port } = box.address;
      const leave = await startFourTransfers(box.address);
      for (const [path, withServers] of [
        ['/configuration', false],
        ['/state', true],
      ] as const) {
        const answer = await fetch(`http://${host}:${port}${path}`);
        expect(answer.status).to.equal(200);
        expect(answer.headers.get('content-encoding')).to.equal(null);
        const expected = encoder.encode(sharedStateOf(createServingBox().state, withServers));
        expect(Buffer.from(await answer.arrayBuffer()).equals(expected)).to.equal(true);
      }
      leave.abort();
    },
    50,
  ));

test('the configuration of an older box is received, and its registry is not requested with it', () =>
  withAnsweringBox([], async (box) => {
    const { state } = createServingBox();
    box.answerWith((request, response) => {
      const isOnlyConfiguration = request.url === '/configuration';
      response.end(encoder.encode(sharedStateOf(state, !isOnlyConfiguration)));
    });
    const requesting = createRequestingBox();
    await requesting.get(box.address, 1);
    expect(requesting.configuration()).to.deep.equal(configuration());
    // An older box sends its registry too if the path has a query, 481 KB at 3,000 servers.
    expect(box.requests.map(({ url }) => url)).to.deep.equal(['/configuration']);
    const shared = await requesting.fetcher.requestRegistry(box.address);
    expect(shared?.servers).to.have.length(4);
  }));

test('a registry is sent compressed and without the configuration; a malformed one is dropped', () =>
  withAnsweringBox([configuration()], async (box) => {
    const requesting = createRequestingBox(configuration());
    const shared = await requesting.fetcher.requestRegistry(box.address);
    expect(shared?.servers).to.have.length(4);
    expect(shared?.configuration).to.equal(undefined);
    box.answerWith((_request, response) => response.end(encoder.encode({ servers: 'none' })));
    expect(await requesting.fetcher.requestRegistry(box.address)).to.equal(undefined);
    expect(eventsOf(requesting.lines)).to.deep.equal(['registryTransferFailed']);
  }));

test('all transfers of a box together leave gaps between their writes', () =>
  withAnsweringBox(
    [largeConfiguration(2, 1000)],
    async (box) => {
      const { host, port } = box.address;
      const sizeOf = async (): Promise<number> => {
        const answer = await fetch(`http://${host}:${port}/configuration?after=0`);
        const bytes = Buffer.from(await answer.arrayBuffer());
        expect((decoder.decode(bytes) as { configuration: unknown }).configuration).to.be.an(
          'object',
        );
        return Number(answer.headers.get('content-length'));
      };
      const startedAtMs = performance.now();
      const [size = 0] = await Promise.all([sizeOf(), sizeOf(), sizeOf()]);
      // The first chunk of 8 KB needs no gap.
      const leastMs = (3 * size - 8192) / 200;
      expect(performance.now() - startedAtMs).to.be.at.least(leastMs - 5);
    },
    200,
  ));
