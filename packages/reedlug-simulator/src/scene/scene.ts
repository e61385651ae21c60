/** A scene: a deployment, its callers, and the faults with their times. */
import type { SceneShape } from './sceneValidation.js';

/** Everything that a run needs except its seed. */
export type Scene = SceneShape;

/** A class of requests. */
export type SceneClass = Scene['classes'][number];

/** A service behind the boxes. */
export type SceneService = Scene['services'][number];

/** A service whose engines are ordered from the cloud. */
export type EngineService = Extract<SceneService, { kind: 'engines' }>;

/** A service of plain requests. */
export type PlainService = Extract<SceneService, { kind: 'plain' }>;

/** Performance and capacity of one engine. */
export type EngineParameters = EngineService['engine'];

/** A fault, or an action of the operators, at a time. */
export type SceneFaultSpec = Scene['faults'][number];

/** The distribution of a size: its mean, and the standard deviation of its logarithm. */
export interface SizeSpec {
  mean: number;
  spread: number;
}
