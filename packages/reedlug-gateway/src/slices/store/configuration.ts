/** The configuration in force: always the newest version that was read, never an older one. */
import type { EventOf } from '../../types/event.js';
import type { Configuration, RouteSpec, WorkspaceSpec } from '../../types/configuration.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { PeerMessage } from '../../types/peer.js';
import type { ActiveConfiguration } from '../../types/views.js';

/** Time for which a box says that it missed the answer with its configuration, in ms: five messages. */
const LATE_READ_MS = 1000;

/** Puts a version into force if it is newer than the current one. */
export function onConfigurationRead(
  state: GatewayState,
  step: Step,
  event: EventOf<'configurationRead'>,
): void {
  const { configuration, source } = event;
  const currentVersion = state.active?.configuration.version ?? 0;
  if (configuration.version <= currentVersion) return;
  state.active = activate(configuration, event.isLate === true ? step.nowMs : undefined);
  log(step, 'configurationInForce', {
    version: configuration.version,
    before: currentVersion,
    source,
    routes: configuration.routes.length,
    workspaces: configuration.workspaces.length,
  });
}

/** Returns what gossip says of a configuration that others may have missed as well; nothing otherwise. */
export function lateConfigurationGossip(
  { active }: GatewayState,
  nowMs: number,
): Pick<PeerMessage, 'isConfigurationLate'> {
  const { readLateAtMs = Number.NEGATIVE_INFINITY } = active ?? {};
  return nowMs - readLateAtMs < LATE_READ_MS ? { isConfigurationLate: true } : {};
}

function activate(
  configuration: Configuration,
  readLateAtMs: number | undefined,
): ActiveConfiguration {
  const routesByHost = new Map<string, RouteSpec[]>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host) ?? [];
    routes.push(route);
    routesByHost.set(host, routes);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  const workspaceByKey = new Map<string, WorkspaceSpec>();
  for (const workspace of configuration.workspaces) {
    for (const key of workspace.keys) workspaceByKey.set(key, workspace);
  }
  return { configuration, routesByHost, workspaceByKey, readLateAtMs };
}

/** Returns the route with the longest matching path prefix, or undefined. */
export function findRoute(
  active: ActiveConfiguration,
  host: string,
  path: string,
): RouteSpec | undefined {
  const routes = active.routesByHost.get(host.toLowerCase());
  const pathOnly = path.split('?', 1)[0] ?? path;
  return routes?.find((route) => pathOnly.startsWith(route.pathPrefix));
}
