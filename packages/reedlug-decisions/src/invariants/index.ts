/** Invariants, asserted inside the program in tests and in production. */
import { reduce } from '../reduce.js';
import type { BoxState } from '../state.js';
import type { Effect } from '../types/effect.js';
import type { BoxEvent } from '../types/event.js';
import { checkEffect } from './effectInvariants.js';
import type { InvariantMemory } from './memory.js';
import { checkState } from './stateInvariants.js';
import { BrokenInvariantError, type Violation } from './violation.js';

export { createInvariantMemory, type InvariantMemory } from './memory.js';
export { BrokenInvariantError, InvariantName, type Violation } from './violation.js';

/** The first invariant that an event and its effects break, or undefined. */
export function findViolation(
  memory: InvariantMemory,
  state: BoxState,
  event: BoxEvent,
  effects: readonly Effect[],
): Violation | undefined {
  for (const effect of effects) {
    const violation = checkEffect(memory, state, effect);
    if (violation !== undefined) return violation;
  }
  return checkState(memory, state, event.type === 'tick');
}

/**
 * Reduces an event and throws `BrokenInvariantError` when an invariant does not hold
 * after it, before any effect is carried out.
 */
export function reduceChecked(memory: InvariantMemory, state: BoxState, event: BoxEvent): Effect[] {
  const effects = reduce(state, event);
  const violation = findViolation(memory, state, event, effects);
  if (violation === undefined) return effects;
  throw new BrokenInvariantError(`${violation.name}: ${violation.detail}`, {
    props: { violation, eventType: event.type },
  });
}
