/** Engines that limits leave missing: one in need counts for what it takes. */
import { limitNow } from '../../policy/serverLimit.js';
import type { EngineModel } from '../../policy/engineModel.js';
import type { EngineNeed, ServiceLoad } from '../../policy/engineTarget.js';
import type { GatewayState, Step } from '../../state.js';
import { statingServersOf } from './lifeStatements.js';

const SECOND_MS = 1000;

/** Adds to a need the engines that stand in for those with limits. */
export function withLimitedEngines(
  state: GatewayState,
  { nowMs }: Step,
  params: { service: string; load: ServiceLoad; model: EngineModel; need: EngineNeed },
): EngineNeed {
  const { service, load, model, need } = params;
  const limits = statingServersOf(state, service)
    .map(({ statements }) => statements?.limit && limitNow(statements.limit, nowMs))
    .filter((perSecond) => perSecond !== undefined);
  if (limits.length === 0) return need;
  const asked = (load.openRequests * SECOND_MS) / model.stayMs;
  const missing = (engines: number): number => {
    const share = asked / Math.max(1, engines);
    if (share <= 0) return 0;
    return limits.reduce((sum, perSecond) => sum + Math.max(0, 1 - perSecond / share), 0);
  };
  return {
    usual: need.usual + Math.ceil(missing(need.usual)),
    least: need.least + Math.ceil(missing(need.least)),
  };
}
