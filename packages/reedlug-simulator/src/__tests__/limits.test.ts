import { expect } from 'chai';
import { runSceneFile } from './__fixtures__/runSceneFile.js';

/** Scenes, with the seeds that exceed the limit most when boxes do not share it correctly. */
const SCENES = [
  { file: 'hot-base', seeds: [6] },
  { file: 'hot-fail', seeds: [1, 6] },
  { file: 'hot-kill-twice', seeds: [6] },
  { file: 'hot-cut-long', seeds: [3] },
  { file: 'hot-store-kill-all', seeds: [1] },
  // Averaging the old and a lowered limit over the window lets 189,698 of 162,720 units pass.
  { file: 'limit-lowered', seeds: [1123] },
] as const;

test('a workspace with demand far over its limit is held to it through kills, partitions and failures', async () => {
  for (const { file, seeds } of SCENES) {
    for (const seed of seeds) {
      const { broken } = await runSceneFile(file, seed);
      expect(broken, `${file}, seed ${seed}`).to.deep.equal([]);
    }
  }
});
