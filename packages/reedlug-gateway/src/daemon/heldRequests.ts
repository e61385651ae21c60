/**
 * Requests that were read while this box was behind.
 *
 * They are handed on once the ends of their connections would have been read, the newest first, for a part of each turn.
 * Those whose callers have left are dropped, and those that can't be handed on in time are refused. Connections that wait
 * to be accepted come first, since what they bring is newer. If they wait for long, they are closed unread until none waits.
 */
import { isHeldTooLong, servableHeld, type HeldRequest } from '../policy/heldRequests.js';
import type { CallerExchange } from './callerServer.js';
import { PROCESS_CLOCK, type Clock } from './clock.js';
import type { ReadProgress } from './readProgress.js';

/** Time of a turn in which requests are handed on, in ms; what came meanwhile is read after it. */
const SERVE_MS = 10;
/** Time for which accepting connections comes before handing on requests, in ms. */
const ACCEPT_FIRST_MS = 100;
/** Time for which connections wait in a row to be accepted before they are closed unread, in ms: a burst that is accepted sooner is served. */
const MAX_BACKLOG_MS = 1500;

/** What becomes of held requests. */
export interface HeldRequestListener {
  /** Returns the time that the caller of a request states, in ms; undefined if it states none. */
  deadlineMsOf: (exchange: CallerExchange) => number | undefined;
  /** A request is handed on that was read `heldMs` ago, when the thread was late by `readLateMs`. */
  onServable: (exchange: CallerExchange, times: { heldMs: number; readLateMs: number }) => void;
  onRefused: (exchange: CallerExchange) => void;
  /** The caller has left before its request was handed on. */
  onDropped: (exchange: CallerExchange) => void;
  /** Whether connections are to be closed unread has changed. */
  onBacklog: (closes: boolean) => void;
}

/** Queue of requests that have been read and not yet been handed on. */
export interface HeldRequests {
  /** Hands a request on, at once unless this box is behind. */
  add: (exchange: CallerExchange) => void;
  /** Drops a held request whose caller has left; returns false if it is not held. */
  drop: (exchangeId: number) => boolean;
  /** A connection was accepted, or closed unread. */
  onConnection: () => void;
  /** Whether connections are closed unread. */
  closesConnections: () => boolean;
  /** Refuses what is held, before the process ends. */
  refuseAll: () => void;
}

interface Held extends HeldRequest {
  exchange: CallerExchange;
  readLateMs: number;
}

/** Creates an empty queue. */
export function createHeldRequests(
  reads: ReadProgress,
  listener: HeldRequestListener,
  { nowMs }: Pick<Clock, 'nowMs'> = PROCESS_CLOCK,
): HeldRequests {
  const held = new Map<number, Held>();
  /** Start of the turn before, in ms. */
  let turnStartMs = 0;
  let heldSinceMs = 0;
  let refusedAtMs = Number.NEGATIVE_INFINITY;
  let isTurnPlanned = false;
  /** Since when each turn has accepted a connection, and the last such turn. */
  let acceptsSinceMs = 0;
  let acceptedInTurn = Number.NEGATIVE_INFINITY;
  let servedAtMs = 0;
  let closes = false;

  const planTurn = (): void => {
    if (isTurnPlanned) return;
    isTurnPlanned = true;
    reads.afterTurns(1, playTurn);
  };

  const isAccepting = (): boolean => reads.turn() - acceptedInTurn <= 1;

  const setCloses = (value: boolean): void => {
    if (closes === value) return;
    closes = value;
    listener.onBacklog(value);
  };

  const dropGone = (): void => {
    for (const [id, { exchange }] of held) {
      if (!exchange.isCallerGone()) continue;
      held.delete(id);
      listener.onDropped(exchange);
    }
  };

  const serve = (servable: Held[]): void => {
    const startMs = nowMs();
    for (const { exchange, readAtMs, readLateMs } of servable) {
      const atMs = nowMs();
      if (atMs - startMs >= SERVE_MS) return;
      held.delete(exchange.id);
      servedAtMs = atMs;
      listener.onServable(exchange, { heldMs: atMs - readAtMs, readLateMs });
    }
  };

  const playTurn = (): void => {
    isTurnPlanned = false;
    const startMs = nowMs();
    const turn = reads.turn();
    dropGone();
    if (!isAccepting()) setCloses(false);
    const acceptsFirst =
      isAccepting() && startMs - Math.max(acceptsSinceMs, servedAtMs) < ACCEPT_FIRST_MS;
    if (!acceptsFirst) serve(servableHeld(held.values(), turn));
    const atMs = nowMs();
    const queue = { nowMs: atMs, turnMs: atMs - turnStartMs, heldSinceMs, refusedAtMs };
    const tooLong = [...held.values()].filter((request) => isHeldTooLong(request, queue));
    for (const { exchange } of tooLong) refuse(exchange);
    if (tooLong.length > 0) refusedAtMs = atMs;
    turnStartMs = startMs;
    if (held.size > 0 || closes) planTurn();
  };

  const refuse = (exchange: CallerExchange): void => {
    held.delete(exchange.id);
    listener.onRefused(exchange);
  };

  return {
    add(exchange) {
      const isBehind = reads.isBehind();
      const readLateMs = reads.lateMs();
      if (!isBehind) return listener.onServable(exchange, { heldMs: 0, readLateMs });
      const readAtMs = nowMs();
      if (held.size === 0) {
        turnStartMs = readAtMs;
        heldSinceMs = readAtMs;
      }
      const deadlineMs = listener.deadlineMsOf(exchange);
      const readAtTurn = reads.turn();
      held.set(exchange.id, { exchange, readAtMs, readAtTurn, readLateMs, deadlineMs });
      planTurn();
    },
    drop(exchangeId) {
      const request = held.get(exchangeId);
      if (request === undefined) return false;
      held.delete(exchangeId);
      listener.onDropped(request.exchange);
      return true;
    },
    onConnection() {
      const atMs = nowMs();
      const wasBehind = reads.isBehind();
      if (!wasBehind || !isAccepting()) acceptsSinceMs = atMs;
      acceptedInTurn = reads.turn();
      if (!wasBehind) return;
      reads.expectMore();
      if (atMs - acceptsSinceMs > MAX_BACKLOG_MS) setCloses(true);
      if (closes) planTurn();
    },
    closesConnections: () => closes,
    refuseAll() {
      for (const { exchange } of [...held.values()]) refuse(exchange);
    },
  };
}
