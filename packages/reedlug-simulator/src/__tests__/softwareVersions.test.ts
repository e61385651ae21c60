import { expect } from 'chai';
import { generateSoftwareVersions, generateVersionLosses, runScene } from '../index.js';
import { readTestScene } from './__fixtures__/runSceneFile.js';

/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;
const STREAM_PROMISES = ['oneSoftwareVersion', 'takenUpStreamsGoOn'];

/** Returns the guarantees of streams that are broken in a drawn scene. */
async function brokenOfStreams(file: string, seed: number): Promise<string[]> {
  const { broken } = await runScene(generateSoftwareVersions(readTestScene(file), seed), seed);
  return broken
    .filter(({ promise }) => STREAM_PROMISES.includes(promise))
    .map(({ promise, detail }) => `${promise} ${detail}`);
}

test('over drawn scenes streams keep to one software version, and those taken up go on', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  for (let seed = 1; seed <= 10; seed += 1) {
    expect(await brokenOfStreams('copy-6', seed), `seed ${seed}`).to.deep.equal([]);
  }
});

test('members of hubs learn of engines that come back with another version and no start time', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  expect(await brokenOfStreams('copy-24', 5)).to.deep.equal([]);
});

test('streams do not cross at engines that come back with another version after 50 ms', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  for (const seed of [17, 110]) {
    expect(await brokenOfStreams('copy-24', seed), `seed ${seed}`).to.deep.equal([]);
  }
});

for (const [file, seed] of [
  ['copy-6', 11],
  ['copy-6', 22],
  ['copy-6', 24],
  ['copy-24', 10],
] as const) {
  test(`no stream crosses where versions change while all boxes are lost: ${file}, seed ${seed}`, async function () {
    this.timeout(RUN_TIMEOUT_MS);
    const scene = generateVersionLosses(readTestScene(file), seed);
    const { broken, streams } = await runScene(scene, seed);
    expect(streams.mixed).to.equal(0);
    expect(broken).to.deep.equal([]);
  });
}
