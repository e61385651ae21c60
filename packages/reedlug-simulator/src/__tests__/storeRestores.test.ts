import { expect } from 'chai';
import { generateStoreRestores, runScene } from '../index.js';
import { readTestScene, runSceneFile } from './__fixtures__/runSceneFile.js';

/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;
const SEEDS = [1, 2, 3, 7];

/** Returns how often a guarantee was broken in the scenes. */
async function countBroken(files: readonly string[], promise: string): Promise<number> {
  let count = 0;
  for (const file of files) {
    for (const seed of SEEDS) {
      const { broken } = await runSceneFile(file, seed);
      count += broken.filter((found) => found.promise === promise).length;
    }
  }
  return count;
}

test('no window is reported twice with different counts after a restore of the store', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const files = ['copy-all-new', 'copy-holder-ends', 'copy-long-away'];
  expect(await countBroken(files, 'oneReportAWindow')).to.equal(0);
});

test('no two holders use the same fence after a restore of the store', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const files = ['copy-holder-new', 'copy-all-new'];
  expect(await countBroken(files, 'oneHolderAFence')).to.equal(0);
});

test('a configuration written right after a restore of the store is in force in time', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  expect(await countBroken(['copy-overtaken'], 'configurationInForce')).to.equal(0);
});

test('a box holds the lease in time after a restore of the store', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const scene = readTestScene('copy-6');
  for (const seed of [104, 108, 111, 112, 114]) {
    const { broken } = await runScene(generateStoreRestores(scene, seed), seed);
    expect(
      broken.map(({ promise }) => promise),
      `seed ${seed}`,
    ).not.to.include('leaseHeldAgain');
  }
});
