/** Circuit breaker: after repeated failures it allows no calls for a time, then one probe. */
export interface Breaker {
  failuresToOpen: number;
  openForMs: number;
  failures: number;
  /** Time until which an open breaker allows no call. */
  openUntilMs: number;
  /** Whether a probe has been allowed and its result is not recorded yet. */
  probing: boolean;
}

/** Returns a closed breaker. */
export function createBreaker(failuresToOpen: number, openForMs: number): Breaker {
  return { failuresToOpen, openForMs, failures: 0, openUntilMs: 0, probing: false };
}

/** Returns whether a call may be made now; after the open time, allows one probe. */
export function breakerAllows(breaker: Breaker, nowMs: number): boolean {
  if (breaker.failures < breaker.failuresToOpen) return true;
  if (nowMs < breaker.openUntilMs || breaker.probing) return false;
  breaker.probing = true;
  return true;
}

/** Records the result of a call that the breaker allowed. */
export function recordBreakerResult(breaker: Breaker, succeeded: boolean, nowMs: number): void {
  breaker.probing = false;
  if (succeeded) {
    breaker.failures = 0;
    return;
  }
  breaker.failures += 1;
  if (breaker.failures >= breaker.failuresToOpen) breaker.openUntilMs = nowMs + breaker.openForMs;
}
