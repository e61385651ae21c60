import { expect } from 'chai';
import { PROCESS_CLOCK } from '../clock.js';
import { withinLimit } from '../withinLimit.js';

test('a call that never ends is abandoned soon after its own limit, and one in time is not', async () => {
  const limit = { timeoutMs: 50, abandoned: 'abandoned' };
  const startedAtMs = performance.now();
  const never = new Promise<string>(() => undefined);
  expect(await withinLimit(PROCESS_CLOCK, never, limit)).to.equal('abandoned');
  expect(performance.now() - startedAtMs).to.be.within(240, 600);
  expect(await withinLimit(PROCESS_CLOCK, Promise.resolve('answer'), limit)).to.equal('answer');
});
