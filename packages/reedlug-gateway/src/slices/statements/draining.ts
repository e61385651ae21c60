/** Servers that say they leave: for the rest of that life they get nothing, whatever else says they are ready. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { ServerIncarnation } from '../../types/server.js';
import { asAnnounced } from './announcement.js';
import { statementsFor } from './incarnationStatements.js';

/** Merges that a server leaves; `source` names the request, the box or the feed of the registry that told it. */
export function mergeDraining(
  state: GatewayState,
  step: Step,
  params: { life: ServerIncarnation; source: string; isListed: boolean },
): void {
  const { life, source, isListed } = params;
  const statements = statementsFor(state, step, life);
  if (statements === undefined || statements.leaving !== undefined) return;
  const announcement = { changedAtMs: step.nowMs, announcedAtMs: undefined };
  // The registry tells all boxes itself.
  statements.leaving = { announcement: isListed ? asAnnounced(announcement) : announcement };
  const view = state.servers.get(life.serverId);
  if (view?.statements === statements) view.leaving = true;
  log(step, 'serverLeaving', {
    server: life.serverId,
    bornAtMs: life.bornAtMs ?? 0,
    source,
    running: view?.running ?? 0,
  });
}
