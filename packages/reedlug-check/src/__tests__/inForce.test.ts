import { expect } from 'chai';
import { measureInForceMs } from '../check/inForce.js';

/** Maximum that the users require, in virtual ms. */
const IN_FORCE_WITHIN_MS = 5000;

test('a confirmed revision is in force at every box within five seconds', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const params = { seed, boxId: 'zone-b-1', cutFromPlatform: undefined };
    expect(measureInForceMs(params)).lessThanOrEqual(IN_FORCE_WITHIN_MS);
  }
});

test('a zone that cannot reach the platform receives a revision from its peers', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const params = { seed, boxId: 'zone-a-1', cutFromPlatform: 'zone-c' };
    expect(measureInForceMs(params)).lessThanOrEqual(IN_FORCE_WITHIN_MS);
  }
});
