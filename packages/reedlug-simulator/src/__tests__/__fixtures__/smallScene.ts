/** Scenes of a size that a test can run: some hundred ms each. */
import { fileURLToPath } from 'node:url';
import { readSceneFile } from '../../scene/readSceneFile.js';
import type { Scene } from '../../scene/scene.js';

const SMALL_SCENE = fileURLToPath(new URL('../../../../../scenes/small.yaml', import.meta.url));

/** Seven boxes in three zones, with changes. */
export function smallScene(changes: Partial<Scene> = {}): Scene {
  const read = readSceneFile(SMALL_SCENE);
  if (read.kind === 'faulty') throw new Error(JSON.stringify(read.faults));
  return { ...read.scene, ...changes };
}
