/** Checks that a plan sent for confirmation has all fields. Its digest protects their content. */
import type { Plan } from 'reedlug-decisions';

const REQUIRED_FIELDS: readonly (keyof Plan)[] = [
  'planId',
  'operatorId',
  'intent',
  'steps',
  'changes',
  'undo',
  'basis',
  'digest',
];

/** Returns true if a value has the fields of a plan. */
export function isPlan(value: unknown): value is Plan {
  if (typeof value !== 'object' || value === null) return false;
  const plan = value as Record<string, unknown>;
  const hasArrays = ['steps', 'changes', 'undo', 'basis'].every((field) =>
    Array.isArray(plan[field]),
  );
  return hasArrays && REQUIRED_FIELDS.every((field) => plan[field] !== undefined);
}
