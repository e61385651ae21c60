import { expect } from 'chai';
import { generateUnheardLeaves, runScene } from '../index.js';
import { readTestScene } from './__fixtures__/runSceneFile.js';

/** Timeout of a test, in ms. */
const TEST_TIMEOUT_MS = 60_000;
/** Generated scenes of six boxes; polls that wait for 2 s break the bound in each but the first. */
const SEEDS = [1, 2, 4, 5, 8, 11];

test('servers that leave by the registry get no requests although boxes lose its answers', async function () {
  this.timeout(TEST_TIMEOUT_MS);
  for (const seed of SEEDS) {
    const scene = generateUnheardLeaves(readTestScene('copy-6'), seed);
    const { broken, statingServers } = await runScene(scene, seed);
    expect(broken, `seed ${seed}`).to.deep.equal([]);
    expect(statingServers.length, `seed ${seed}`).to.be.greaterThan(0);
  }
});
