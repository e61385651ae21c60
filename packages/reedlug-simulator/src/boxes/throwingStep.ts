/**
 * Ends a step of the reducer at a random place: one of its calls of built-in functions throws. The reducer makes them
 * between nearly any two of its changes, so that each change may be left half done.
 */
import type { StepFault } from 'reedlug-gateway';
import type { Random } from 'reedlug-standins';

/** Mean numbers of calls before a step is ended: events make some tens to some thousands of them. */
const MEAN_CALLS: readonly number[] = [10, 100, 1000];

type BuiltIn = (...values: unknown[]) => unknown;

/** Functions that throw, by the object that has them. */
const BUILT_INS: readonly { owner: object; names: readonly string[] }[] = [
  { owner: Map.prototype, names: ['get', 'set', 'has', 'delete', 'values'] },
  { owner: Set.prototype, names: ['add', 'has', 'delete'] },
  { owner: Array.prototype, names: ['push', 'filter', 'find', 'some', 'map', 'at'] },
  { owner: Math, names: ['max', 'min', 'round', 'floor'] },
];

class InjectedError extends Error {}

/** Whether an exception was injected; others are faults of the code. */
export function isInjected({ error }: StepFault): boolean {
  return error instanceof InjectedError;
}

/** Runs a step of which one call throws, unless it makes too few of them. */
export function runThrowingStep<T>(random: Random, run: () => T): T {
  let callsLeft = Math.floor(random.exponential(random.pick(MEAN_CALLS)));
  const replaced = BUILT_INS.flatMap(({ owner, names }) =>
    names.map((name) => ({ owner, name, original: Reflect.get(owner, name) as BuiltIn })),
  );
  for (const { owner, name, original } of replaced) {
    const throwing = function (this: unknown, ...values: unknown[]): unknown {
      callsLeft -= 1;
      if (callsLeft === -1) throw new InjectedError(name);
      return Reflect.apply(original, this, values);
    };
    Reflect.set(owner, name, throwing);
  }
  try {
    return run();
  } finally {
    for (const { owner, name, original } of replaced) Reflect.set(owner, name, original);
  }
}
