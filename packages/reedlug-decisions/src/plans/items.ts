/** The configuration items that plans write, with their names and shapes. */
import type { BoxState } from '../state.js';
import type { RequestClass, WorkspaceLimits } from '../types/settings.js';

/** A pool on its way from one site to another. */
export interface PoolMove {
  toSite: string;
  startsAtEpochMs: number;
  endsAtEpochMs: number;
  steps: number;
  /** Share of conversations at which the move was halted; undefined while it goes on. */
  haltedAtShare: number | undefined;
}

/** A class that is kept off reclaimable boxes in a window. */
export interface KeepOff {
  startsAtEpochMs: number;
  endsAtEpochMs: number;
}

/** A workspace's own class for requests that do not state one. */
export interface Priority {
  requestClass: RequestClass;
}

/** A workspace as plans create and change it. */
export interface WorkspaceItem extends WorkspaceLimits {
  /** Hash of its key; undefined for a workspace whose key stands in the settings. */
  keySha256: string | undefined;
}

/** Name prefix of the wanted states of engines. */
export const WANTED_PREFIX = 'wanted/';

/** Names of items. */
export const itemName = {
  workspace: (workspaceId: string): string => `workspace/${workspaceId}`,
  service: (service: string): string => `service/${service}`,
  priority: (workspaceId: string): string => `priority/${workspaceId}`,
  poolMove: (model: string): string => `poolMove/${model}`,
  keepOff: (requestClass: RequestClass): string => `keepOffReclaimable/${requestClass}`,
  wanted: (serverId: string): string => `${WANTED_PREFIX}${serverId}`,
} as const;

/** The value of an item, or undefined. */
export function itemValue<T>(state: BoxState, name: string): T | undefined {
  return state.config.items.get(name)?.value as T | undefined;
}

const WORKSPACE_PREFIX = 'workspace/';

/** The workspace that a plan has created with a key, by the key's hash. */
export function workspaceOfKey(state: BoxState, keySha256: string): string | undefined {
  for (const [name, item] of state.config.items) {
    if (!name.startsWith(WORKSPACE_PREFIX)) continue;
    const workspace = item.value as WorkspaceItem;
    if (workspace.keySha256 === keySha256) return workspace.id;
  }
  return undefined;
}
