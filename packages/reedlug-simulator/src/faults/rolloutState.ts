/** A roll-out of a scene, and what has been observed of it. */
import type { RolloutPhase } from 'reedlug-gateway';
import type { SceneFaultSpec } from '../scene/scene.js';

/** A roll-out as a scene orders it. */
export type RolloutSpec = Extract<SceneFaultSpec, { kind: 'rollout' }>;

/** The observed state of a roll-out. */
export interface RolloutState {
  spec: RolloutSpec;
  version: string;
  orderedAtMs: number;
  /** Requests that reached the service within the ordered duration, and those among them at the new version. */
  arrivals: number;
  trialArrivals: number;
  badAnswers: number;
  /**
   * Time by which sends to the new version must stop, once it has given too many bad answers, and
   * time of the last request to it.
   */
  stopDueAtMs: number | undefined;
  lastArrivalMs: number;
  endedAtMs: number | undefined;
  end: RolloutPhase | undefined;
}
