/** Answers of the shared table as events. */
import type { TableAnswer } from 'reedlug-coordination';
import type { StoreTableReply } from '../adapter.js';
import type { GatewayState } from '../state.js';
import type { EventBody, TablePurpose } from '../types/event.js';

/** The events of a reply. One of an era that is over says nothing: what was done may be lost. */
export function eventsOfTable(
  { storeEra }: GatewayState,
  { purpose, sentAtMs, reply }: { purpose: TablePurpose; sentAtMs: number; reply: StoreTableReply },
): EventBody[] {
  const { storeNowMs, era } = reply;
  const isPastEra = era !== undefined && storeEra !== undefined && era < storeEra;
  const answer: TableAnswer = isPastEra ? { kind: 'unknown' } : reply.answer;
  const events: EventBody[] = [{ type: 'tableAnswered', purpose, answer, sentAtMs }];
  if (storeNowMs !== undefined) events.unshift({ type: 'storeClock', storeNowMs });
  return events;
}
