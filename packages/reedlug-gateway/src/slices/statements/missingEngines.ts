/** Adds engines to make up for limited and paused ones, which count only for the requests that they accept. */
import { currentLimit } from '../../policy/serverLimit.js';
import type { EngineModel } from '../../policy/engineModel.js';
import type { EngineNeed, ServiceLoad } from '../../policy/engineTarget.js';
import type { GatewayState, Step } from '../../state.js';
import type { ServiceSpec } from '../../types/configuration.js';
import type { IncarnationStatements } from '../../types/serverStatement.js';
import { serversWithStatements } from './incarnationStatements.js';
import { pausedUntilMs } from './pauses.js';

const SECOND_MS = 1000;

/** Adds to a need the engines that replace those that accept less than their share of the requests, or none. */
export function withMissingEngines(
  state: GatewayState,
  { nowMs }: Step,
  params: { spec: ServiceSpec; load: ServiceLoad; model: EngineModel; need: EngineNeed },
): EngineNeed {
  const { spec, load, model, need } = params;
  const { bootMs = Infinity } = spec.scaling ?? {};
  const acceptedRates = serversWithStatements(state, spec.name)
    .map(({ statements }) => statements && acceptedPerSecond(statements, { nowMs, bootMs }))
    .filter((perSecond) => perSecond !== undefined);
  if (acceptedRates.length === 0) return need;
  const arrivalsPerSecond = (load.openRequests * SECOND_MS) / model.stayMs;
  const missingEngines = (engines: number): number => {
    const share = arrivalsPerSecond / Math.max(1, engines);
    if (share <= 0) return 0;
    return acceptedRates.reduce((sum, perSecond) => sum + Math.max(0, 1 - perSecond / share), 0);
  };
  return {
    usual: need.usual + Math.ceil(missingEngines(need.usual)),
    least: need.least + Math.ceil(missingEngines(need.least)),
  };
}

/**
 * Returns how many requests a second the statements of a server allow; undefined if they set no bound.
 * A pause that ends before a new engine could start is ignored.
 */
function acceptedPerSecond(
  { limit, rest }: IncarnationStatements,
  { nowMs, bootMs }: { nowMs: number; bootMs: number },
): number | undefined {
  if (rest !== undefined && pausedUntilMs(rest) - nowMs > bootMs) return 0;
  return limit && currentLimit(limit, nowMs);
}
