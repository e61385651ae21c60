/** The status that a box reports to operators: its own state and its view of the fleet. */
import { ServerKind } from 'reedlug-decisions';
import type { EntryDaemon } from '../daemon/entryDaemon.js';

/** Body of `GET /admin/status`. */
export interface BoxStatus {
  box: string;
  zone: string;
  ready: boolean;
  draining: boolean;
  revision: number;
  highestRevisionHeard: number;
  leaseFence: number | undefined;
  unsettledRequests: number;
  rejectedPeers: number;
  boxes: { id: string; zone: string; state: string; revision: number }[];
  zones: { name: string; site: string; liveBoxes: number; liveEngines: number }[];
  servers: {
    id: string;
    kind: string;
    zone: string;
    pool: string;
    state: string;
    openHere: number;
    running: number | undefined;
  }[];
  queues: { pool: string; urgent: number; patient: number }[];
}

/** Collects the status of a box. */
export function boxStatus(daemon: EntryDaemon): BoxStatus {
  const { state } = daemon;
  const { settings } = state;
  const boxes = settings.boxes.map(({ id, zone }) => ({
    id,
    zone,
    state: state.boxMembers.members.get(id)?.state ?? 'unknown',
    revision: id === settings.boxId ? state.config.revision : (state.peers.get(id)?.revision ?? 0),
  }));
  const servers = [...state.servers.values()].map(({ spec, openAttempts, report }) => ({
    id: spec.id,
    kind: spec.kind,
    zone: spec.zone,
    pool: spec.pool,
    state: state.serverMembers.members.get(spec.id)?.state ?? 'unknown',
    openHere: openAttempts.size,
    running: report?.running,
  }));
  return {
    box: settings.boxId,
    zone: settings.zone,
    ready: daemon.ready(),
    draining: state.draining !== undefined,
    revision: state.config.revision,
    highestRevisionHeard: state.config.highestKnownRevision,
    leaseFence: state.lease.held?.fence,
    unsettledRequests: state.unsettled.size,
    rejectedPeers: daemon.rejectedPeers(),
    boxes,
    zones: settings.zones.map(({ name, site }) => ({
      name,
      site,
      liveBoxes: boxes.filter((box) => box.zone === name && box.state === 'live').length,
      liveEngines: servers.filter(
        (server) =>
          server.zone === name && server.kind === ServerKind.engine && server.state === 'live',
      ).length,
    })),
    servers,
    queues: [...state.pools].map(([pool, { urgent, patient }]) => ({
      pool,
      urgent: urgent.size,
      patient: patient.size,
    })),
  };
}
