/** What the engines of a world are like. */
import type { ServerSpec } from 'reedlug-decisions';
import type { EngineModelOptions } from 'reedlug-standins';

/** What an engine of a world is like, but for what its description says. */
export type EngineProfile = Omit<
  EngineModelOptions,
  'engineId' | 'model' | 'version' | 'slots' | 'tokensPerEvent'
>;

/** The options of an engine's model from its description. */
export function engineOptionsOf(
  { id, pool, version, slots }: ServerSpec,
  profile: EngineProfile,
  tokensPerEvent: number,
): EngineModelOptions {
  return { ...profile, engineId: id, model: pool, version, slots, tokensPerEvent };
}
