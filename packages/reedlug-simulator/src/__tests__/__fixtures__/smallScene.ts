/** Scenes small enough for tests: a run takes some hundred ms. */
import { fileURLToPath } from 'node:url';
import { readSceneFile } from '../../scene/readSceneFile.js';
import type { Scene } from '../../scene/scene.js';

const SMALL_SCENE = fileURLToPath(new URL('../../../../../scenes/small.yaml', import.meta.url));

/** Returns a scene with seven boxes in three zones, with changes applied. */
export function smallScene(changes: Partial<Scene> = {}): Scene {
  const read = readSceneFile(SMALL_SCENE);
  if (read.kind === 'faulty') throw new Error(JSON.stringify(read.faults));
  return { ...read.scene, ...changes };
}
