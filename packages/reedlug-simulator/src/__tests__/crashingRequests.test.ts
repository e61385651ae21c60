import { expect } from 'chai';
import { runSceneFile } from './__fixtures__/runSceneFile.js';

/**
 * Scenes, and the maximum number of servers that one request may crash in each: three, plus the
 * three further sends that the guarantee allows. Three more are allowed where both sides of a
 * network partition learn on their own, or boxes restart and learn again.
 */
const SCENES = [
  { file: 'ending-base', mostEnded: 6 },
  { file: 'ending-once', mostEnded: 6 },
  { file: 'ending-several', mostEnded: 6 },
  { file: 'ending-cut', mostEnded: 9 },
  { file: 'ending-kill-all', mostEnded: 9 },
] as const;

test('all boxes block a request that crashes its servers, and no other request', async () => {
  for (const { file, mostEnded } of SCENES) {
    for (const seed of [1, 2]) {
      const { broken, endings } = await runSceneFile(file, seed);
      const label = `${file}, seed ${seed}`;
      expect(broken, label).to.deep.equal([]);
      for (const { ended } of endings) expect(ended, label).to.be.at.most(mostEnded);
    }
  }
});

test('other requests are served alongside a request that crashes its servers', async () => {
  for (const seed of [1, 2]) {
    const { whole } = await runSceneFile('ending-base', seed);
    expect((whole.refused + whole.failed) / whole.asked, `seed ${seed}`).to.be.below(0.01);
  }
});
