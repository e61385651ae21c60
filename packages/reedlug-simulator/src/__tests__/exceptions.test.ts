import { expect } from 'chai';
import { generateExceptions, runScene } from '../index.js';
import { readTestScene } from './__fixtures__/runSceneFile.js';

/** Timeout of a test, in ms. */
const TEST_TIMEOUT_MS = 60_000;
/** Generated scenes of six boxes; without repair of the state, the first five leave work behind. */
const SEEDS = [4, 5, 10, 11, 15, 3, 21];

test('exceptions at random places of the reducer break no guarantee and leave nothing behind', async function () {
  this.timeout(TEST_TIMEOUT_MS);
  for (const seed of SEEDS) {
    const scene = generateExceptions(readTestScene('copy-6'), seed);
    const { broken, exceptions } = await runScene(scene, seed);
    expect(broken, `seed ${seed}`).to.deep.equal([]);
    expect(exceptions['requestArrived'], `seed ${seed}`).to.be.greaterThan(0);
    expect(exceptions['tick'], `seed ${seed}`).to.be.greaterThan(0);
  }
});
