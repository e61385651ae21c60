/** Test fixtures that let a box acquire and hold the duty lease. */
import type { CloudCall } from '../../types/effect.js';
import type { Effect } from '../../types/effect.js';
import { ofType, only, type TestBox } from './box.js';

/** Interval between ticks, in ms, as in the daemon. */
const TICK_MS = 50;

/** Lets the box acquire the duty lease and returns its fencing token. */
export function takeLease(box: TestBox): number {
  const read = ofType(box.pass(4000), 'requestTable').find(
    ({ purpose }) => purpose.kind === 'lease',
  );
  if (read === undefined) throw new Error('the box did not ask for the lease');
  const { purpose, sentAtMs } = read;
  box.take({ type: 'tableAnswered', purpose, answer: { kind: 'done', rows: [] }, sentAtMs });
  const write = only(box.pass(50), 'requestTable');
  if (write.op.kind !== 'transact') throw new Error('the lease is taken by a write');
  const rows = write.op.writes.map(({ key, value }) => ({ key, version: 1, value }));
  box.take({
    type: 'tableAnswered',
    purpose: write.purpose,
    answer: { kind: 'done', rows },
    sentAtMs: write.sentAtMs,
  });
  return box.state.lease.held?.fence ?? 0;
}

/** Purposes of the writes that the table accepts from a lease holder. */
const ACCEPTED_WRITES: readonly string[] = ['lease', 'checkpoint'];

/**
 * Advances time in ticks while the table accepts writes of lease and checkpoint; returns all other
 * effects.
 */
export function passAsHolder(box: TestBox, ms: number): Effect[] {
  const others: Effect[] = [];
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    for (const effect of box.pass(TICK_MS)) {
      if (effect.type !== 'requestTable' || !ACCEPTED_WRITES.includes(effect.purpose.kind)) {
        others.push(effect);
        continue;
      }
      const { op, purpose, sentAtMs } = effect;
      const writes = op.kind === 'transact' ? op.writes : [];
      const rows = writes.map(({ key, value }) => ({ key, version: box.nowMs, value }));
      box.take({ type: 'tableAnswered', purpose, answer: { kind: 'done', rows }, sentAtMs });
    }
  }
  return others;
}

/** Returns the platform calls of one kind among effects. */
export function callsOf<K extends CloudCall['kind']>(
  effects: readonly Effect[],
  kind: K,
): { callId: number; call: Extract<CloudCall, { kind: K }>; fence: number }[] {
  return ofType(effects, 'callCloud').flatMap(({ callId, call, fence }) =>
    call.kind === kind ? [{ callId, call: call as Extract<CloudCall, { kind: K }>, fence }] : [],
  );
}
