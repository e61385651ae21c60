/** Invariants that are checked after each event, in tests and in production. */
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

/** Returns the first invariant that an event and its effects violate, or undefined. */
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
 * Applies an event and returns its effects. Throws `BrokenInvariantError` if an
 * invariant does not hold afterwards, before any effect is carried out.
 */
export function reduceChecked(memory: InvariantMemory, state: BoxState, event: BoxEvent): Effect[] {
  const effects = reduce(state, event);
  const violation = findViolation(memory, state, event, effects);
  if (violation === undefined) return effects;
  throw new BrokenInvariantError(`${violation.name}: ${violation.detail}`, {
    props: { violation, eventType: event.type },
  });
}
