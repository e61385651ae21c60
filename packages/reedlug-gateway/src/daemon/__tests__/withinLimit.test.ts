import { expect } from 'chai';
import { PROCESS_CLOCK } from '../clock.js';
import { withinLimit } from '../withinLimit.js';

function onFault(error: unknown): never {
  throw error;
}

test('a call that never ends is abandoned soon after its own limit, and one in time is not', async () => {
  const limit = { timeoutMs: 50, abandoned: 'abandoned', onFault };
  const startedAtMs = performance.now();
  const never = new Promise<string>(() => undefined);
  expect(await withinLimit(PROCESS_CLOCK, () => never, limit)).to.equal('abandoned');
  expect(performance.now() - startedAtMs).to.be.within(240, 600);
  expect(await withinLimit(PROCESS_CLOCK, () => Promise.resolve('answer'), limit)).to.equal(
    'answer',
  );
});

test('a call that throws or rejects counts as one without an answer', async () => {
  const faults: string[] = [];
  const onFailed = (error: unknown): void => void faults.push((error as Error).message);
  const limit = { timeoutMs: 50, abandoned: 'abandoned', onFault: onFailed };
  const throws = (): Promise<string> => {
    throw new Error('thrown');
  };
  const rejects = (): Promise<string> => Promise.reject(new Error('rejected'));
  expect(await withinLimit(PROCESS_CLOCK, throws, limit)).to.equal('abandoned');
  expect(await withinLimit(PROCESS_CLOCK, rejects, limit)).to.equal('abandoned');
  expect(faults).to.deep.equal(['thrown', 'rejected']);
});
