/** Reads and runs scenes of the repository by name. */
import { fileURLToPath } from 'node:url';
import { readSceneFile, runScene, type Scene, type SceneReport } from '../../index.js';

const SCENES_FOLDER = new URL('../../../../../scenes/', import.meta.url);

/** Reads a scene of the repository. */
export function readTestScene(name: string): Scene {
  const read = readSceneFile(fileURLToPath(new URL(`${name}.yaml`, SCENES_FOLDER)));
  if (read.kind === 'faulty') throw new Error(JSON.stringify(read.faults));
  return read.scene;
}

/** Reads a scene's file and runs it with one seed. */
export function runSceneFile(name: string, seed: number): Promise<SceneReport> {
  return runScene(readTestScene(name), seed);
}
