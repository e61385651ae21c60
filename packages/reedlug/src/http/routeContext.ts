/** What the routes of the HTTP server share. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import findMyWay from 'find-my-way';
import type { EntryDaemon } from '../daemon/entryDaemon.js';
import type { Settings } from '../settings/settingsTypes.js';
import type { KeyRing } from './keys.js';

/** Router of the HTTP server. */
export type Router = ReturnType<typeof createRouter>;

/** Dependencies that the routes share. */
export interface RouteContext {
  daemon: EntryDaemon;
  settings: Settings;
  workspaceKeys: KeyRing;
  operatorKeys: KeyRing;
  /** Returns a new unique id for a request. */
  newId: () => string;
}

/** Creates a router; `onMissing` answers requests without a route. */
export function createRouter(
  onMissing: (request: IncomingMessage, response: ServerResponse) => void,
) {
  return findMyWay({ ignoreTrailingSlash: true, defaultRoute: onMissing, maxParamLength: 500 });
}
