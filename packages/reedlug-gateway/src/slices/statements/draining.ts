/** Draining servers. A server that says so gets no more requests in that incarnation, even if other sources list it as ready. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { ServerIncarnation } from '../../types/server.js';
import { asAnnounced } from './announcement.js';
import { statementsFor } from './incarnationStatements.js';

/** Records that a server is draining. `source` names the request, the box or the registry feed that reported it. */
export function mergeDraining(
  state: GatewayState,
  step: Step,
  params: { life: ServerIncarnation; source: string; isListed: boolean },
): void {
  const { life, source, isListed } = params;
  const statements = statementsFor(state, step, life);
  if (statements === undefined || statements.leaving !== undefined) return;
  const announcement = { changedAtMs: step.nowMs, announcedAtMs: undefined };
  // All boxes read the registry, so its entries need no announcement.
  statements.leaving = { announcement: isListed ? asAnnounced(announcement) : announcement };
  const view = state.servers.get(life.serverId);
  if (view?.statements === statements) view.leaving = true;
  log(step, 'serverLeaving', {
    server: life.serverId,
    bornAtMs: life.bornAtMs ?? 0,
    source,
    running: view?.running ?? 0,
    gapMs: state.registryGapMs,
  });
}
