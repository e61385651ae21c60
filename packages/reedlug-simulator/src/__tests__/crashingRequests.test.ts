import { expect } from 'chai';
import { runSceneFile } from './__fixtures__/runSceneFile.js';

/**
 * Scenes, and how many servers may end under one request in each: three and the three
 * further sends of the users' rule, three more where two sides of a cut learn by themselves
 * or boxes begin anew.
 */
const SCENES = [
  { file: 'ending-base', mostEnded: 6 },
  { file: 'ending-once', mostEnded: 6 },
  { file: 'ending-several', mostEnded: 6 },
  { file: 'ending-cut', mostEnded: 9 },
  { file: 'ending-kill-all', mostEnded: 9 },
] as const;

test('a request that ends its servers is kept out by all boxes, and no other one is', async () => {
  for (const { file, mostEnded } of SCENES) {
    for (const seed of [1, 2]) {
      const { broken, endings } = await runSceneFile(file, seed);
      const label = `${file}, seed ${seed}`;
      expect(broken, label).to.deep.equal([]);
      for (const { ended } of endings) expect(ended, label).to.be.at.most(mostEnded);
    }
  }
});

test('others are served beside a request that ends its servers', async () => {
  for (const seed of [1, 2]) {
    const { whole } = await runSceneFile('ending-base', seed);
    expect((whole.refused + whole.failed) / whole.asked, `seed ${seed}`).to.be.below(0.01);
  }
});
