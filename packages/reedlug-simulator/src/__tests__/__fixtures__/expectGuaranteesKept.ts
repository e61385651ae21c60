/** Runs scenes in which no guarantee may be broken. */
import { expect } from 'chai';
import { runSceneFile } from './runSceneFile.js';

/** Seeds with which each scene is run. */
export const SEEDS = [1, 2] as const;

/** Runs each scene with each seed, and expects that no guarantee was broken. */
export async function expectGuaranteesKept(files: readonly string[]): Promise<void> {
  for (const file of files) {
    for (const seed of SEEDS) {
      const { broken } = await runSceneFile(file, seed);
      expect(broken, `${file}, seed ${seed}`).to.deep.equal([]);
    }
  }
}
