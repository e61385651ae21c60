/** Circuit breaker: after repeated failures a dependency is left alone, then probed. */
export interface Breaker {
  failuresToOpen: number;
  openForMs: number;
  failures: number;
  /** While now is before this time the breaker is open. */
  openUntilMs: number;
  /** True while a single probe is under way after the open time. */
  probing: boolean;
}

/** Returns a closed breaker. */
export function createBreaker(failuresToOpen: number, openForMs: number): Breaker {
  return { failuresToOpen, openForMs, failures: 0, openUntilMs: 0, probing: false };
}

/** Says whether a call may be made now; after the open time it lets one probe through. */
export function breakerAllows(breaker: Breaker, nowMs: number): boolean {
  if (breaker.failures < breaker.failuresToOpen) return true;
  if (nowMs < breaker.openUntilMs || breaker.probing) return false;
  breaker.probing = true;
  return true;
}

/** Notes the result of a call that the breaker allowed. */
export function recordBreakerResult(breaker: Breaker, succeeded: boolean, nowMs: number): void {
  breaker.probing = false;
  if (succeeded) {
    breaker.failures = 0;
    return;
  }
  breaker.failures += 1;
  if (breaker.failures >= breaker.failuresToOpen) breaker.openUntilMs = nowMs + breaker.openForMs;
}
