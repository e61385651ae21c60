/** Converts replies of the shared table to events. */
import type { TableAnswer } from 'reedlug-coordination';
import type { StoreTableReply } from '../adapter.js';
import type { GatewayState } from '../state.js';
import type { EventBody, TablePurpose } from '../types/event.js';

/** Returns the events of a reply. A reply of an earlier era of the store counts as unknown, since the restore from a backup may have lost the write. */
export function eventsOfTable(
  { storeEra }: GatewayState,
  { purpose, sentAtMs, reply }: { purpose: TablePurpose; sentAtMs: number; reply: StoreTableReply },
): EventBody[] {
  const { storeNowMs, era } = reply;
  const isPastEra = era !== undefined && storeEra !== undefined && era < storeEra;
  const answer: TableAnswer = isPastEra ? { kind: 'unknown' } : reply.answer;
  const storeTime = storeNowMs === undefined ? undefined : { storeNowMs, era: era ?? 0 };
  const answered = { type: 'tableAnswered' as const, purpose, answer, sentAtMs };
  const events: EventBody[] = [storeTime === undefined ? answered : { ...answered, storeTime }];
  if (storeNowMs !== undefined) events.unshift({ type: 'storeClock', storeNowMs });
  return events;
}
