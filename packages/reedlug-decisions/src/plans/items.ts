/** Names and value types of the configuration items that plans write. */
import type { BoxState } from '../state.js';
import type { RequestClass, WorkspaceLimits } from '../types/settings.js';

/** A move of a pool from one site to another. */
export interface PoolMove {
  toSite: string;
  startsAtEpochMs: number;
  endsAtEpochMs: number;
  steps: number;
  /** Share of conversations moved by the time of the halt; undefined if it is not halted. */
  haltedAtShare: number | undefined;
}

/** Period in which a request class does not use reclaimable machines. */
export interface KeepOff {
  startsAtEpochMs: number;
  endsAtEpochMs: number;
}

/** The request class that an operator has set for a workspace; it replaces that of the request. */
export interface Priority {
  requestClass: RequestClass;
}

/** A workspace that plans have created or changed. */
export interface WorkspaceItem extends WorkspaceLimits {
  /** SHA-256 of its key; undefined if the key is in the settings. */
  keySha256: string | undefined;
}

/** Name prefix of the desired states of engines. */
export const WANTED_PREFIX = 'wanted/';

/** Functions that return the names of items. */
export const itemName = {
  workspace: (workspaceId: string): string => `workspace/${workspaceId}`,
  service: (service: string): string => `service/${service}`,
  priority: (workspaceId: string): string => `priority/${workspaceId}`,
  poolMove: (model: string): string => `poolMove/${model}`,
  keepOff: (requestClass: RequestClass): string => `keepOffReclaimable/${requestClass}`,
  wanted: (serverId: string): string => `${WANTED_PREFIX}${serverId}`,
} as const;

/** Returns the value of an item, or undefined if it does not exist. */
export function itemValue<T>(state: BoxState, name: string): T | undefined {
  return state.config.items.get(name)?.value as T | undefined;
}

const WORKSPACE_PREFIX = 'workspace/';

/** Returns the id of the workspace item whose key has this SHA-256, or undefined if none has. */
export function workspaceOfKey(state: BoxState, keySha256: string): string | undefined {
  for (const [name, item] of state.config.items) {
    if (!name.startsWith(WORKSPACE_PREFIX)) continue;
    const workspace = item.value as WorkspaceItem;
    if (workspace.keySha256 === keySha256) return workspace.id;
  }
  return undefined;
}
