/** A time in which the limits of workspaces stay the same. */

/** The limits that apply from a time until the next period. */
export interface LimitPeriod {
  fromMs: number;
  /** Factor on the scene's own limits. */
  factor: number;
}
