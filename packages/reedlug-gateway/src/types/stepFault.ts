/** Exception of a part of a step of the reducer. */
export interface StepFault {
  error: unknown;
  /** Request that the part handled, if it handled one. */
  exchangeId: number | undefined;
}
