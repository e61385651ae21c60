/** A fleet whose callers ask for more units than the limit, with faults of boxes and of the links between them. */
import {
  configuration,
  createBox,
  facts,
  listBoxes,
  listBoxesAfterRestart,
  ofType,
  settings,
  type TestBox,
} from '../../../../__tests__/__fixtures__/box.js';
import { createRandom } from '../../../../__tests__/__fixtures__/random.js';
import { eventOfDatagram } from '../../../../daemon/datagramEvent.js';
import { decodeDatagram, encodeDatagram } from '../../../../daemon/peerWire.js';
import type { Effect } from '../../../../types/effect.js';
import type { PeerAddress } from '../../../../types/peer.js';
import { WINDOW_MS } from './unitsInWindow.js';

const TICK_MS = 50;
const RATE_PER_SECOND = 50_000;
const BURST = 50_000;
/** Port of the peer link, the same at all boxes. */
const PEERS_PORT = 7000;
const SLACK = 140_000;
const OVER_SHARE = 0.1;
const DEADLINE_MS = 6000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const LARGE_UNITS = 20_000;

/** A run: `demand` is a multiple of the rate. */
export interface ReservingScene {
  boxes: number;
  demand: number;
  seed: number;
  reserves: boolean;
  durationMs: number;
  /** Shares of datagrams that are lost, delivered twice, and delivered late. */
  lost?: number;
  doubled?: number;
  late?: number;
  /** Share of the boxes that reserve nothing, as older ones. */
  older?: number;
  /** Boxes that end and start again, and when. */
  restarts?: readonly { box: number; atMs: number }[];
  /** Boxes that end for good. */
  ends?: readonly { box: number; atMs: number }[];
  /** Time for which the first zone is cut off; it gets nine of ten requests if `isHot`. */
  cut?: { atMs: number; forMs: number; isHot: boolean };
  /** Factor on the limit from a time on. */
  lowered?: { atMs: number; factor: number };
}

/** What a run did. */
export interface ReservingRun {
  admitted: { atMs: number; units: number }[];
  askedLarge: number;
  servedLarge: number;
  asked: number;
  served: number;
  reservations: number;
  /** Tries of callers that returned when told, and how many of them were recognised. */
  returnTries: number;
  returns: number;
  /** Largest number of units that one box knew to be reserved. */
  mostReserved: number;
  /** Reservations that boxes still hold at the end, after some seconds without callers. */
  leftOver: number;
}

function addressOf(index: number): PeerAddress {
  const zone = ZONES[index % ZONES.length] ?? '';
  const host = `10.0.0.${index}`;
  return { boxId: `box-${index}`, host, port: PEERS_PORT, zone, processorCores: 1 };
}

function configurationOf(factor: number, version: number) {
  const base = configuration();
  const limit = { ratePerSecond: RATE_PER_SECOND * factor, burst: BURST * factor };
  return { ...base, version, workspaces: base.workspaces.map((w) => ({ ...w, ...limit })) };
}

function startBox(
  index: number,
  scene: ReservingScene,
  params: { nowMs: number; life: number; factor: number; version: number },
): TestBox {
  const { nowMs, life, factor, version } = params;
  const bounds = { limitSlackUnits: SLACK, limitOverShare: OVER_SHARE, limitWindowMs: WINDOW_MS };
  const isOlder = index < scene.boxes * (scene.older ?? 0);
  const base = settings(bounds, { reserveLimitUnits: scene.reserves && !isOlder });
  const { boxId: id, host: ip, zone = '' } = addressOf(index);
  const box = createBox({ ...base, zones: ZONES, box: { ...base.box, id, ip, zone } });
  box.nowMs = nowMs;
  box.state.startedAtMs = nowMs;
  box.state.processStartedAtMs = nowMs;
  box.state.incarnation = life;
  box.take({
    type: 'configurationRead',
    configuration: configurationOf(factor, version),
    source: 'store',
  });
  const others = Array.from({ length: scene.boxes }, (_, other) => addressOf(other)).filter(
    ({ boxId }) => boxId !== id,
  );
  if (nowMs === 0) listBoxes(box, others);
  else listBoxesAfterRestart(box, others);
  box.take({ type: 'storeClock', storeNowMs: nowMs });
  const entry = {
    id: 'engine-1',
    service: 'engines',
    address: { host: '127.0.0.1', port: 1 },
    zone: 'zone-a',
    slots: 100_000,
    state: 'ready' as const,
    reclaimable: false,
    leavesInMs: undefined,
    version: undefined,
  };
  const changes = [{ id: entry.id, entry }];
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return box;
}

/** Plays a scene. */
export function playReservingScene(scene: ReservingScene): ReservingRun {
  const random = createRandom(scene.seed);
  const run: ReservingRun = {
    admitted: [],
    askedLarge: 0,
    servedLarge: 0,
    asked: 0,
    served: 0,
    reservations: 0,
    returnTries: 0,
    returns: 0,
    mostReserved: 0,
    leftOver: 0,
  };
  let limit = { factor: 1, version: 1 };
  const fleet = Array.from({ length: scene.boxes }, (_, index) => {
    return startBox(index, scene, { nowMs: 0, life: 1, ...limit });
  });
  const ended = new Set<number>();
  let flights: { to: number; atMs: number; bytes: Buffer }[] = [];
  let returning: { atMs: number; units: number; deadlineAtMs: number }[] = [];
  const open = new Map<number, { units: number; deadlineAtMs: number; isReturn: boolean }>();
  let exchangeId = 0;
  let pendingUnits = 0;

  const isCut = (from: number, to: number, nowMs: number): boolean => {
    const { cut } = scene;
    if (cut === undefined || nowMs < cut.atMs || nowMs >= cut.atMs + cut.forMs) return false;
    return (from % ZONES.length === 0) !== (to % ZONES.length === 0);
  };
  const handle = (from: number, effects: readonly Effect[], nowMs: number): void => {
    for (const { message, to } of ofType(effects, 'sendPeers')) {
      for (const { host } of to) {
        const target = Number(host.split('.').at(-1));
        if (isCut(from, target, nowMs) || random() < (scene.lost ?? 0)) continue;
        const delayMs = random() < (scene.late ?? 0) ? 200 + random() * 400 : 0;
        const flight = { to: target, atMs: nowMs + delayMs, bytes: encodeDatagram(message) };
        flights.push(flight);
        if (random() < (scene.doubled ?? 0)) flights.push({ ...flight, atMs: flight.atMs + 60 });
      }
    }
    for (const { event } of ofType(effects, 'log')) {
      if (event === 'unitsReserved') run.reservations += 1;
      if (event === 'reservationUsed') run.returns += 1;
    }
    for (const effect of effects) {
      if (effect.type !== 'send' && effect.type !== 'refuse') continue;
      const request = open.get(effect.exchangeId);
      if (request === undefined) continue;
      open.delete(effect.exchangeId);
      const { units, deadlineAtMs, isReturn } = request;
      if (effect.type === 'send') {
        run.admitted.push({ atMs: nowMs, units });
        run.served += 1;
        if (units >= LARGE_UNITS) run.servedLarge += 1;
        continue;
      }
      const waitMs = effect.retryAfterMs ?? Number.POSITIVE_INFINITY;
      if (isReturn || waitMs > (deadlineAtMs - nowMs) / 3) continue;
      returning.push({ atMs: nowMs + waitMs, units, deadlineAtMs });
    }
  };
  const ask = (units: number, deadlineAtMs: number, isReturn: boolean, nowMs: number): void => {
    const isFirstZone = scene.cut?.isHot === true && random() < 0.9;
    let index = Math.floor(random() * scene.boxes);
    if (isFirstZone) index -= index % ZONES.length;
    const box = fleet[index];
    if (box === undefined || ended.has(index)) return;
    exchangeId += 1;
    open.set(exchangeId, { units, deadlineAtMs, isReturn });
    const request = facts({
      requestId: `r${exchangeId}`,
      path: '/draft/1',
      deadlineMs: isReturn ? deadlineAtMs - nowMs : undefined,
      promptTokens: units,
      maxOutputTokens: 0,
    });
    box.nowMs = nowMs;
    handle(index, box.take({ type: 'requestArrived', exchangeId, facts: request }), nowMs);
  };

  const quietMs = 5000;
  for (let nowMs = TICK_MS; nowMs <= scene.durationMs + quietMs; nowMs += TICK_MS) {
    for (const { box, atMs } of scene.restarts ?? []) {
      if (atMs !== nowMs) continue;
      fleet[box] = startBox(box, scene, { nowMs, life: nowMs, ...limit });
    }
    for (const { box, atMs } of scene.ends ?? []) if (atMs === nowMs) ended.add(box);
    if (scene.lowered?.atMs === nowMs) {
      limit = { factor: scene.lowered.factor, version: 2 };
      const lowered = configurationOf(limit.factor, limit.version);
      for (const box of fleet) {
        box.nowMs = nowMs;
        box.take({ type: 'configurationRead', configuration: lowered, source: 'store' });
      }
    }
    const due = flights.filter(({ atMs }) => atMs < nowMs);
    flights = flights.filter(({ atMs }) => atMs >= nowMs);
    for (const { to, bytes } of due) {
      const box = fleet[to];
      const message = decodeDatagram(bytes);
      if (box === undefined || message === undefined || ended.has(to)) continue;
      box.nowMs = nowMs;
      handle(to, box.take(eventOfDatagram(message)), nowMs);
    }
    const back = returning.filter(({ atMs }) => atMs <= nowMs);
    returning = returning.filter(({ atMs }) => atMs > nowMs);
    run.returnTries += back.length;
    for (const { units, deadlineAtMs } of back) ask(units, deadlineAtMs, true, nowMs);
    const isQuiet = nowMs > scene.durationMs;
    pendingUnits += isQuiet ? 0 : (scene.demand * RATE_PER_SECOND * TICK_MS) / 1000;
    while (pendingUnits > 0) {
      const units = Math.ceil(200 + random() ** 4 * 30_000);
      pendingUnits -= units;
      run.asked += 1;
      if (units >= LARGE_UNITS) run.askedLarge += 1;
      ask(units, nowMs + DEADLINE_MS, false, nowMs);
    }
    fleet.forEach((box, index) => {
      if (ended.has(index)) return;
      box.nowMs = nowMs - TICK_MS;
      handle(index, box.pass(TICK_MS), nowMs);
      const { own, ofPeers } = box.state.unitReservations;
      const reserved = [...own, ...ofPeers].reduce((sum, { units }) => sum + units, 0);
      run.mostReserved = Math.max(run.mostReserved, reserved);
    });
  }
  fleet.forEach(({ state }, index) => {
    const { own, ofPeers, used } = state.unitReservations;
    if (!ended.has(index)) run.leftOver += own.length + ofPeers.length + used.length;
  });
  return run;
}

/** Returns the users' bound on the units of a window, for the limit times a factor. */
export function unitsAllowed(factor = 1): number {
  const limit = (RATE_PER_SECOND * WINDOW_MS) / 1000 + BURST;
  return limit * factor * (1 + OVER_SHARE) + SLACK;
}
