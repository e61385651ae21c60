/** Builds gossip messages: for this box, for its group, and for one member the sum of all other boxes. */
import { GossipScope, type PeerMessage, type ServerLoad } from '../../types/peer.js';
import type { GatewayState, Step } from '../../state.js';
import { addLoads } from '../../policy/serverLoad.js';
import type { ReceivedTotals, PeerView, ServerView } from '../../types/views.js';
import { dutyFence } from '../store/dutyLease.js';
import { boxesCovered, countedPeers, type PeerWithMessage } from './fleet.js';
import { cutOffGossip } from './cutOffBoxes.js';
import { sameLivesGossip, type SameLives } from './lifeEnds.js';
import { storeLossGossip } from './storeLoss.js';
import { isCutOff } from '../../policy/connectPlan.js';
import { addSendSums, type SendSums } from '../../policy/engineModel.js';
import { ownSendSums } from '../engines/engineModels.js';
import { ownShareGossip, sumShares } from '../limits/limitShare.js';
import { lateConfigurationGossip } from '../store/configuration.js';
import { knownAgeMs, ownFeedAgeMs } from '../store/feedAges.js';
import { rolloutGossip } from '../rollouts/rollouts.js';
import { registryGossip } from './registryGossip.js';
import { reservationGossip } from '../limits/unitReservations.js';
import { ownSpareUnits } from '../limits/unitLoans.js';
import { speedRows, withSpeeds } from '../serverSpeeds/speedGossip.js';
import { ownWorkloads, sumWorkloads } from '../workspaceShares/workSums.js';
import { brittleGossip } from '../statements/brittleServices.js';
import { ownUsage } from '../usage/usage.js';
import { decisionGossip } from '../usage/usageDecisions.js';

/** The gossip of one tick; messages to several peers differ only in what they sum up. */
export interface GossipMessages {
  /** Returns this box's figures alone. */
  ownMessage: () => PeerMessage;
  /** Returns the sum of this box and its members. */
  groupMessage: () => PeerMessage;
  /** Returns the sum of all boxes except one. */
  othersMessage: (peer: PeerView) => PeerMessage;
}

/** Prepares the gossip of a tick. */
export function buildGossip(state: GatewayState, step: Step): GossipMessages {
  state.peerSequence += 1;
  const own = ownGossip(state, step);
  const counted = countedPeers(state, step.nowMs);
  const members = counted.filter(({ message }) => message.scope === GossipScope.box);
  const speeds = speedRows(state, step.nowMs, counted);
  let sameLives: SameLives | undefined;
  return {
    ownMessage: () => withSpeeds(own, speeds?.own()),
    groupMessage: () => {
      const message = summedGossip(state, step, own, {
        scope: GossipScope.group,
        of: members,
        sameLives: sameLivesGossip(state, GossipScope.group, step.nowMs),
      });
      return withSpeeds(message, speeds?.group());
    },
    othersMessage: (peer) => {
      const of = counted.filter(({ boxId }) => boxId !== peer.boxId);
      const message = summedGossip(state, step, own, {
        scope: GossipScope.others,
        of,
        except: peer.contribution,
        sameLives: (sameLives ??= sameLivesGossip(state, GossipScope.others, step.nowMs)),
      });
      return withSpeeds(message, speeds?.others(peer));
    },
  };
}

function ownGossip(state: GatewayState, step: Step): PeerMessage {
  const { box, listen } = state.settings;
  const holdsLease = dutyFence(state, step.nowMs) !== undefined;
  return {
    kind: 'news',
    boxId: box.id,
    incarnation: state.incarnation,
    sequence: state.peerSequence,
    scope: GossipScope.box,
    isProbe: false,
    boxes: 1,
    zone: box.zone,
    host: box.ip,
    port: listen.peersPort,
    processorCores: box.processorCores,
    configurationVersion: state.active?.configuration.version ?? 0,
    ...lateConfigurationGossip(state, step.nowMs),
    serversRevision: state.serversRevision,
    serversRevisionMax: state.serversRevisionMax,
    registry: undefined,
    storeEra: state.storeEra,
    storeContactAgeMs: ageOf(state.storeContactAtMs, step.nowMs),
    feedAgeMs: ownFeedAgeMs(state, step.nowMs),
    knownAgeMs: knownAgeMs(state, step.nowMs),
    ...sameLivesGossip(state, GossipScope.box, step.nowMs),
    ...storeLossGossip(state, GossipScope.box, step.nowMs),
    leaseHolder: holdsLease ? { host: box.ip, port: listen.peersPort } : undefined,
    leaving: state.stoppingSinceMs !== undefined,
    silentZones: [...state.silentZones],
    ...(state.brittleServices.size > 0 ? { brittle: brittleGossip(state, step.nowMs) } : {}),
    ...(isCutOff(state.serverLinks) ? { isCutOff: true } : {}),
    loads: ownLoads(state),
    sendSums: ownSendSums(state, step.nowMs),
    admitted: Object.fromEntries([...state.quotas].map(([name, quota]) => [name, quota.admitted])),
    usage: state.hubId === undefined ? ownUsage(state, step) : {},
    workTokens: state.workTokens,
    decisions: decisionGossip(state, step.nowMs),
    room: ownSpareUnits(state, step.nowMs),
    ...reservationGossip(state, step.nowMs, []),
    part: ownShareGossip(state, step.nowMs),
    rollouts: rolloutGossip(state, step.nowMs, []),
    ...ownWorkloads(state, step.nowMs),
    clockOffsetMs: state.agreedClockOffsetMs,
  };
}

function ageOf(atMs: number | undefined, nowMs: number): number | undefined {
  return atMs === undefined ? undefined : Math.round(nowMs - atMs);
}

function ownLoads(state: GatewayState): Record<string, ServerLoad> {
  const loads: Record<string, ServerLoad> = {};
  for (const view of state.servers.values()) {
    if (view.running > 0) loads[view.entry.id] = ownLoad(view);
  }
  return loads;
}

function ownLoad({ running, prefillTokens, unread, unreadByUrgency }: ServerView): ServerLoad {
  const load = { running, prefillTokens, unread };
  return unread === 0 ? load : { ...load, unreadByUrgency: [...unreadByUrgency] };
}

/** Adds the gossip of peers to this box's own; totals come from what was received since the start, less the contribution of one peer. */
function summedGossip(
  state: GatewayState,
  step: Step,
  own: PeerMessage,
  params: {
    scope: typeof GossipScope.group | typeof GossipScope.others;
    of: readonly PeerWithMessage[];
    except?: ReceivedTotals;
    sameLives: SameLives;
  },
): PeerMessage {
  const { scope, of, except, sameLives } = params;
  const totals = [state.totalsFromBoxes];
  if (scope === GossipScope.others) totals.push(state.totalsFromHubs);
  const holder = of.find(({ message }) => message.leaseHolder !== undefined);
  const isHubMessage = scope === GossipScope.others;
  return {
    ...own,
    sameLivesForMs: undefined,
    ...sameLives,
    isStoreLost: undefined,
    ...storeLossGossip(state, scope, step.nowMs),
    scope,
    registry: isHubMessage && state.serversKnown ? registryGossip(state, step.nowMs) : undefined,
    boxes: boxesCovered(of),
    storeContactAgeMs: ageOf(lastStoreContact(state, of), step.nowMs),
    leaseHolder: own.leaseHolder ?? holder?.message.leaseHolder,
    loads: sumLoads([own, ...of.map(({ message }) => message)]),
    sendSums: sumSends([own, ...of.map(({ message }) => message)]),
    room: sumSpareUnits([own, ...of.map(({ message }) => message)]),
    ...reservationGossip(state, step.nowMs, of),
    part: sumShares([own, ...of.map(({ message }) => message)]),
    rollouts: rolloutGossip(state, step.nowMs, of),
    ...sumWorkloads([own, ...of.map(({ message }) => message)]),
    ...cutOffGossip(of.map(({ message }) => message)),
    admitted: sumAdmitted(own, totals, except),
    usage: {},
    workTokens:
      own.workTokens +
      totals.reduce((sum, { workTokens }) => sum + workTokens, 0) -
      (except?.workTokens ?? 0),
  };
}

function lastStoreContact(state: GatewayState, of: readonly PeerWithMessage[]): number | undefined {
  let lastAtMs = state.storeContactAtMs;
  for (const { lastReceivedAtMs, message } of of) {
    if (message.storeContactAgeMs === undefined) continue;
    const atMs = lastReceivedAtMs - message.storeContactAgeMs;
    if (lastAtMs === undefined || atMs > lastAtMs) lastAtMs = atMs;
  }
  return lastAtMs;
}

function sumLoads(messages: readonly PeerMessage[]): Record<string, ServerLoad> {
  const sums = new Map<string, ServerLoad>();
  for (const { loads } of messages) {
    for (const [id, load] of Object.entries(loads)) sums.set(id, addLoads(sums.get(id), load));
  }
  return Object.fromEntries(sums);
}

function sumSpareUnits(messages: readonly PeerMessage[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { room } of messages) {
    for (const [workspace, units] of Object.entries(room ?? {})) {
      sums[workspace] = (sums[workspace] ?? 0) + units;
    }
  }
  return sums;
}

function sumSends(messages: readonly PeerMessage[]): Record<string, SendSums> {
  const sums: Record<string, SendSums> = {};
  for (const { sendSums } of messages) {
    for (const [service, part] of Object.entries(sendSums)) {
      const known = sums[service];
      sums[service] = known === undefined ? part : addSendSums([known, part]);
    }
  }
  return sums;
}

function sumAdmitted(
  own: PeerMessage,
  totals: readonly ReceivedTotals[],
  except: ReceivedTotals | undefined,
): Record<string, number> {
  const sums: Record<string, number> = { ...own.admitted };
  for (const { admitted } of totals) {
    for (const [workspace, units] of admitted) sums[workspace] = (sums[workspace] ?? 0) + units;
  }
  for (const [workspace, units] of except?.admitted ?? []) {
    sums[workspace] = (sums[workspace] ?? 0) - units;
  }
  return sums;
}
