/** Runs a scene of the repository by its name. */
import { fileURLToPath } from 'node:url';
import { readSceneFile, runScene, type SceneReport } from '../../index.js';

const SCENES_FOLDER = new URL('../../../../../scenes/', import.meta.url);

/** Reads a scene's file and runs it with one seed. */
export async function runSceneFile(name: string, seed: number): Promise<SceneReport> {
  const read = readSceneFile(fileURLToPath(new URL(`${name}.yaml`, SCENES_FOLDER)));
  if (read.kind === 'faulty') throw new Error(JSON.stringify(read.faults));
  return runScene(read.scene, seed);
}
