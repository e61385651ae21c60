import { expect } from 'chai';
import { generateBrittleServers, runScene } from '../index.js';
import { expectGuaranteesKept, SEEDS } from './__fixtures__/expectGuaranteesKept.js';
import { readTestScene, runSceneFile } from './__fixtures__/runSceneFile.js';

/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;
const DRAWN_SCENES = 12;

test('brittle servers do not fell each other, whatever they are asked for', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept([
    'brittle-half',
    'brittle-base',
    'brittle-over',
    'brittle-clumps',
    'brittle-steady-clumps',
  ]);
});

test('brittle servers that are asked for nine tenths of what they bear serve nine tenths', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  for (const seed of SEEDS) {
    const { whole } = await runSceneFile('brittle-base', seed);
    expect((whole.inTime + whole.late) / whole.asked, `seed ${seed}`).to.be.at.least(0.9);
  }
});

test('brittle servers stay up in drawn scenes', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const scene = readTestScene('brittle-base');
  for (let seed = 1; seed <= DRAWN_SCENES; seed += 1) {
    const { broken } = await runScene(generateBrittleServers(scene, seed), seed);
    expect(broken, `seed ${seed}`).to.deep.equal([]);
  }
});
