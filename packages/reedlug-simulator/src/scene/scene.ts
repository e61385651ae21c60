/** A scene: a deployment, its callers, and what goes wrong when. */
import type { SceneShape } from './sceneValidation.js';

/** Everything that a run needs but its seed. */
export type Scene = SceneShape;

/** A kind of request. */
export type SceneClass = Scene['classes'][number];

/** A service behind the boxes. */
export type SceneService = Scene['services'][number];

/** A service whose engines can be ordered. */
export type EngineService = Extract<SceneService, { kind: 'engines' }>;

/** A service of plain requests. */
export type PlainService = Extract<SceneService, { kind: 'plain' }>;

/** Figures of one engine. */
export type EngineParameters = EngineService['engine'];

/** Something that goes wrong, or is done, at a time. */
export type SceneFaultSpec = Scene['faults'][number];

/** A size that is drawn: its mean, and the spread of its logarithm. */
export interface SizeSpec {
  mean: number;
  spread: number;
}
