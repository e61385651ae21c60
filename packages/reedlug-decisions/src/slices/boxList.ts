/** Updates of the servers from the platform's box list. */
import type { MemberStatement } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { BoxState, Step } from '../state.js';
import { removePendingStart } from './placement.js';
import { upsertServer, applyServerStatement } from './servers.js';

/** Applies the platform's box list, which may be out of date: it names servers and draining ones. */
export function onBoxListRead(state: BoxState, step: Step, event: EventOf<'boxListRead'>): void {
  for (const entry of event.entries) {
    upsertServer(state, entry.spec);
    const statement: MemberStatement = {
      kind: 'listed',
      incarnation: entry.incarnation,
      zone: entry.spec.zone,
      leaving: entry.leaving,
    };
    applyServerStatement(state, step, entry.spec.id, statement, true);
    removePendingStart(state, entry.spec.id);
  }
}
