/** Draining servers. A server that says so gets no more requests in that incarnation, even if other sources list it as ready. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { ServerIncarnation } from '../../types/server.js';
import { asAnnounced } from './announcement.js';
import { statementsFor } from './incarnationStatements.js';

/** Records that a server is draining. `source` names the request, the box or the registry feed that reported it; `isAnnounced` is set if all boxes learn of it without this one. */
export function mergeDraining(
  state: GatewayState,
  step: Step,
  params: { life: ServerIncarnation; source: string; isAnnounced: boolean },
): void {
  const { life, source, isAnnounced } = params;
  const statements = statementsFor(state, step, life);
  if (statements === undefined || statements.leaving !== undefined) return;
  const announcement = { changedAtMs: step.nowMs, announcedAtMs: undefined };
  statements.leaving = { announcement: isAnnounced ? asAnnounced(announcement) : announcement };
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
