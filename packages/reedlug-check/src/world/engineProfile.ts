/** Performance of the engines in a world. */
import type { ServerSpec } from 'reedlug-decisions';
import type { EngineModelOptions } from 'reedlug-standins';

/** Performance parameters of an engine; its other options come from its spec. */
export type EngineProfile = Omit<
  EngineModelOptions,
  'engineId' | 'model' | 'version' | 'slots' | 'tokensPerEvent'
>;

/** Returns the options of an engine's model from its spec and its performance parameters. */
export function engineOptionsOf(
  { id, pool, version, slots }: ServerSpec,
  profile: EngineProfile,
  tokensPerEvent: number,
): EngineModelOptions {
  return { ...profile, engineId: id, model: pool, version, slots, tokensPerEvent };
}
