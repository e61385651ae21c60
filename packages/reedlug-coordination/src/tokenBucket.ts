/** Token bucket for rate limits; each call passes the current time. */
export interface TokenBucket {
  ratePerSecond: number;
  capacity: number;
  tokens: number;
  refilledAtMs: number;
}

/** Returns a full bucket. */
export function createTokenBucket(
  ratePerSecond: number,
  capacity: number,
  nowMs: number,
): TokenBucket {
  return { ratePerSecond, capacity, tokens: capacity, refilledAtMs: nowMs };
}

/** Takes `amount` tokens and returns 0, or returns the time until that many are available, in ms. */
export function takeTokens(bucket: TokenBucket, amount: number, nowMs: number): number {
  refill(bucket, nowMs);
  if (bucket.tokens >= amount) {
    bucket.tokens -= amount;
    return 0;
  }
  return ((amount - bucket.tokens) / bucket.ratePerSecond) * 1000;
}

/** Changes the rate and capacity; keeps the tokens in the bucket up to the new capacity. */
export function setRate(
  bucket: TokenBucket,
  ratePerSecond: number,
  capacity: number,
  nowMs: number,
): void {
  refill(bucket, nowMs);
  bucket.ratePerSecond = ratePerSecond;
  bucket.capacity = capacity;
  bucket.tokens = Math.min(bucket.tokens, capacity);
}

function refill(bucket: TokenBucket, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  bucket.tokens = Math.min(
    bucket.capacity,
    bucket.tokens + (elapsedMs / 1000) * bucket.ratePerSecond,
  );
  bucket.refilledAtMs = nowMs;
}
