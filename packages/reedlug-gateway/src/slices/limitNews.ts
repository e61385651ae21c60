/**
 * What a box that has just started learns of the limits.
 *
 * A box keeps its account of limits in memory. When it comes back, its peers know
 * what it admitted before, and what they did themselves: they tell it at its first
 * message, in one datagram each. For the case that all boxes are lost at once, the
 * holder of the lease keeps the sum of all in the checkpoint, and each box reads it
 * at its start.
 */
import { CHECKPOINT_KEY, type CheckpointRow } from '../types/checkpoint.js';
import type { EventOf } from '../types/event.js';
import { NewsScope, type StoredLimits, type WindowNews } from '../types/peer.js';
import { addSums, sumsOf, type UnitWindow } from '../policy/unitWindow.js';
import { log, requestTable, type GatewayState, type Step } from '../state.js';
import type { PeerView } from '../types/views.js';
import { usesHubs, type HeardPeer } from './fleet.js';
import { assumeUsed } from './assumedUnits.js';
import { isYoung } from './limitTolerance.js';
import { findWorkspace, quotaOf, windowOf } from './quotas.js';

/** Pause before the store is asked again, in ms. */
const ASK_STORE_EVERY_MS = 500;
/** Bytes that stored limits take at most: some hundred workspaces. */
const STORED_LIMITS_BYTES = 12 * 1024;

/** Tells a peer that is heard for the first time in its life. */
export function tellLimits(state: GatewayState, step: Step, peer: HeardPeer): void {
  if (peer.message.scope !== NewsScope.box || peer.message.isProbe) return;
  // The sums of others that a hub speaks for are its to tell; other boxes tell their own.
  const others = [...state.peers.values()].filter((other) => other !== peer);
  const unitsOfOthers = others.map(({ units }) => units);
  const message = {
    kind: 'limits' as const,
    boxId: state.settings.box.id,
    admitted: newsOf([ownWindows(state), ...(isHub(state) ? unitsOfOthers : [])], step.nowMs),
    admittedByReceiver: newsOf([peer.units], step.nowMs),
    admittedByOthers: isHub(state) ? {} : newsByBox(others, step.nowMs),
    isComplete: state.knowsLimits || !isYoung(state, step.nowMs),
  };
  step.effects.push({ type: 'sendPeers', message, to: [peer.address] });
}

/** Windows of workspaces by name. */
type Windows = ReadonlyMap<string, UnitWindow>;

function ownWindows(state: GatewayState): Windows {
  return new Map([...state.quotas].map(([name, { own }]) => [name, own]));
}

function newsByBox(peers: readonly PeerView[], nowMs: number): Record<string, WindowNews> {
  return Object.fromEntries(peers.map(({ boxId, units }) => [boxId, newsOf([units], nowMs)]));
}

/** Adds the windows of each workspace up. */
function newsOf(parts: readonly Windows[], nowMs: number): WindowNews {
  const news: Record<string, number[]> = {};
  for (const [name, window] of parts.flatMap((part) => [...part])) {
    const sum = news[name] ?? [];
    sumsOf(window, nowMs).forEach((units, at) => (sum[at] = Math.round((sum[at] ?? 0) + units)));
    if (sum.some((units) => units > 0)) news[name] = sum;
  }
  return news;
}

/** What this box knows that all admitted in the last window, for the checkpoint; undefined while it does not know what came before its start. */
export function storedLimits(state: GatewayState, nowMs: number): StoredLimits | undefined {
  const knows = state.knowsLimits || state.storedLimits !== undefined || !isYoung(state, nowMs);
  if (state.storeEpochMs === undefined || !knows) return undefined;
  for (const workspace of state.active?.configuration.workspaces ?? []) {
    quotaOf(state, workspace, nowMs);
  }
  const assumed = [...state.quotas].flatMap(([name, quota]) =>
    quota.assumed === undefined ? [] : [[name, quota.assumed] as const],
  );
  const heard = [...state.peers.values()].map(({ units }) => units);
  const admitted = newsOf([ownWindows(state), new Map(assumed), ...heard], nowMs);
  if (JSON.stringify(admitted).length > STORED_LIMITS_BYTES) return undefined;
  return { atStoreMs: Math.round(nowMs - state.storeEpochMs), admitted };
}

/** Asks the store what was admitted before this box's start, until it or a peer has told. */
export function limitsTick(state: GatewayState, step: Step): void {
  if (!isYoung(state, step.nowMs)) return;
  if (state.knowsLimits || state.storedLimits !== undefined) return;
  if (state.settings.cloud === undefined || state.storeEpochMs === undefined) return;
  if (step.nowMs - state.limitsAskedAtMs < ASK_STORE_EVERY_MS) return;
  state.limitsAskedAtMs = step.nowMs;
  requestTable(step, { kind: 'limits' }, { kind: 'read', keys: [CHECKPOINT_KEY] });
}

/** Takes the checkpoint; where there is none, nothing was admitted. One without limits was written by a box that did not know them. */
export function onLimitsRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
): void {
  const { answer } = event;
  if (answer.kind !== 'done' || state.knowsLimits || state.storeEpochMs === undefined) return;
  const row = answer.rows.find(({ key }) => key === CHECKPOINT_KEY);
  const stored = (row?.value as CheckpointRow | undefined)?.limits;
  if (row !== undefined && stored === undefined) return;
  state.storedLimits = stored ?? { atStoreMs: 0, admitted: {} };
  for (const [name, quota] of state.quotas) {
    const workspace = findWorkspace(state, name);
    if (workspace !== undefined) assumeUsed(state, quota, workspace, step.nowMs);
  }
  const ageMs = step.nowMs - state.storeEpochMs - state.storedLimits.atStoreMs;
  log(step, 'limitsRead', { found: stored !== undefined, ageMs: Math.round(ageMs) });
}

/** Takes what a peer tells of the limits, while this box is too young to know them. */
export function onPeerLimits(state: GatewayState, step: Step, event: EventOf<'peerLimits'>): void {
  const { message } = event;
  const { nowMs } = step;
  const peer = state.peers.get(message.boxId);
  if (peer === undefined || !isYoung(state, nowMs) || !message.isComplete) return;
  takeWindows(state, step, peer, message.admitted);
  for (const [boxId, admitted] of Object.entries(message.admittedByOthers)) {
    const other = state.peers.get(boxId);
    if (other !== undefined) takeWindows(state, step, other, admitted);
  }
  for (const [name, sums] of Object.entries(message.admittedByReceiver)) {
    takeEarlierLife(state, step, name, sums);
  }
  if (state.knowsLimits) return;
  state.knowsLimits = true;
  for (const quota of state.quotas.values()) quota.assumed = undefined;
  log(step, 'limitsLearned', {
    peer: message.boxId,
    afterMs: Math.round(nowMs - state.startedAtMs),
  });
}

/** Takes what a box admitted, from itself or from whoever tells first. */
function takeWindows(state: GatewayState, step: Step, peer: PeerView, admitted: WindowNews): void {
  if (peer.toldLimits) return;
  peer.toldLimits = true;
  for (const [name, sums] of Object.entries(admitted)) {
    addSums(windowOf(state, peer, name), sums, step.nowMs);
  }
}

/** All peers tell the same of this box; the first to tell of a workspace counts. */
function takeEarlierLife(
  state: GatewayState,
  step: Step,
  name: string,
  sums: readonly number[],
): void {
  const workspace = findWorkspace(state, name);
  if (workspace === undefined) return;
  const quota = quotaOf(state, workspace, step.nowMs);
  if (quota.earlierLifeTold) return;
  quota.earlierLifeTold = true;
  addSums(quota.own, sums, step.nowMs);
}

function isHub(state: GatewayState): boolean {
  return usesHubs(state) && state.hubId === undefined;
}
