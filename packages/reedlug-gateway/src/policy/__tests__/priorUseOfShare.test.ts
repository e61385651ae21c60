/** Guards against a share that counts as unused although an earlier incarnation of its box may have used it. */
import { expect } from 'chai';
import { priorUseOfShare } from '../priorUseOfShare.js';

const WINDOW_MS = 8000;

function useOf(dividedAtMs: number | undefined, earlierLifeEndedAtMs: number | undefined) {
  return priorUseOfShare({ dividedAtMs, earlierLifeEndedAtMs, windowMs: WINDOW_MS });
}

test('the share of a new box among boxes without shares is unused', () => {
  expect(useOf(undefined, undefined)).to.deep.equal({ kind: 'unused' });
});

test('others may have used the share of a new box until they divided by it', () => {
  expect(useOf(3000, undefined)).to.deep.equal({ kind: 'joined', atMs: 3000 });
});

test('an earlier incarnation may have used a share that no box holds', () => {
  expect(useOf(undefined, 9000)).to.deep.equal({ kind: 'earlierLife', atMs: 9000 });
});

test('an earlier incarnation may have used a share that others divided by long before', () => {
  expect(useOf(500, 9000)).to.deep.equal({ kind: 'earlierLife', atMs: 9000 });
});

test('the later of two uses within a window counts, with the whole share', () => {
  expect(useOf(2000, 9000)).to.deep.equal({ kind: 'joined', atMs: 9000 });
  expect(useOf(9500, 9000)).to.deep.equal({ kind: 'joined', atMs: 9500 });
});
