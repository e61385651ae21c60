/** Seeded random numbers. */
import { xoroshiro128plus, type RandomGenerator } from 'pure-rand';

/** Random values from one generator. */
export interface Random {
  /** Returns a number in [0, 1). */
  unit: () => number;
  /** Returns an integer from `low` to `high`, both included. */
  whole: (low: number, high: number) => number;
  chance: (probability: number) => boolean;
  pick: <T>(items: readonly T[]) => T;
  /** Returns a sample from an exponential distribution. */
  exponential: (mean: number) => number;
  /** Returns a sample from a log-normal distribution with a median and a spread. */
  logNormal: (median: number, sigma: number) => number;
}

const RANGE = 0x1_0000_0000;

/** Returns a generator that gives the same values for the same seed. */
export function createRandom(seed: number): Random {
  const generator: RandomGenerator = xoroshiro128plus(seed);
  const unit = (): number => (generator.unsafeNext() >>> 0) / RANGE;
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - unit())) * Math.cos(2 * Math.PI * unit());
  return {
    unit,
    whole: (low, high) => low + Math.floor(unit() * (high - low + 1)),
    chance: (probability) => unit() < probability,
    pick(items) {
      const item = items[Math.floor(unit() * items.length)];
      if (item === undefined) throw new RangeError('cannot pick from an empty list');
      return item;
    },
    exponential: (mean) => -mean * Math.log(1 - unit()),
    logNormal: (median, sigma) => median * Math.exp(sigma * normal()),
  };
}
