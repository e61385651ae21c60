/** Operations of the table in progress, and the confirmation of plans by them. */
import type { ClaimGroup } from 'reedlug-coordination';
import type { Plan } from './plan.js';

/** The purpose of a table operation in flight. */
export type TableOpPurpose =
  | { kind: 'claims'; group: ClaimGroup }
  | { kind: 'claimOutcomes'; requestIds: readonly string[] }
  | { kind: 'claimReread'; requestId: string }
  | { kind: 'lease'; sentAtMs: number }
  | { kind: 'configScan' }
  | { kind: 'confirm'; askId: string; plan: Plan; tries: number; step: ConfirmStep };

/** A step of confirming a plan. */
export type ConfirmStep =
  { kind: 'write'; revision: number } | { kind: 'readBack'; revision: number };

/** A confirmed plan that is in the table and is not yet known to be in force in every zone. */
export interface PendingConfirm {
  askId: string;
  revision: number;
  untilMs: number;
}
