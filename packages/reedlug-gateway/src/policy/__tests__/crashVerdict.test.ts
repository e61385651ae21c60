import { expect } from 'chai';
import type { CrashSuspect, ServerCrash } from '../../types/crashSuspect.js';
import { causesCrashes, isSameCrash } from '../crashVerdict.js';

/** Returns a crash of a server 60 ms after the request was sent. */
function crash(serverId: string, endedAtMs: number, changes: Partial<ServerCrash> = {}) {
  return { serverId, bornAtMs: 1, sentAtMs: endedAtMs - 60, endedAtMs, ...changes };
}

function suspect(key: string, crashes: ServerCrash[], changes: Partial<CrashSuspect> = {}) {
  return {
    key,
    crashes,
    goodRunAtMs: Number.NEGATIVE_INFINITY,
    blockedSinceMs: undefined,
    evaluationDueAtMs: undefined,
    seenAtMs: 0,
    ...changes,
  };
}

/** Evaluates the first suspect; `others` are crashes at which no suspect was present. */
function evaluate(suspects: CrashSuspect[], others: ServerCrash[] = []): boolean {
  const recent = [...others, ...suspects.flatMap(({ crashes }) => crashes)];
  const distinct = recent.filter(
    (one, index) => recent.findIndex((other) => isSameCrash(one, other)) === index,
  );
  return causesCrashes(suspects[0] as CrashSuspect, { suspects, recent: distinct });
}

test('three consecutive crashes suffice to block a request, two do not', () => {
  const crashes = [crash('a', 100), crash('b', 200), crash('c', 500)];
  expect(evaluate([suspect('x', crashes)])).to.equal(true);
  expect(evaluate([suspect('x', crashes.slice(0, 2))])).to.equal(false);
});

test('simultaneous crashes count as one round if servers crashed without the request', () => {
  const crashes = [crash('a', 100), crash('b', 101), crash('c', 102), crash('d', 110)];
  const others = ['e', 'f', 'g', 'h', 'i'].map((id) => crash(id, 105));
  expect(evaluate([suspect('popular', crashes)], others)).to.equal(false);
});

test('a send at the moment of a crash does not start a second round', () => {
  const crashes = [crash('a', 100), crash('b', 101), crash('c', 103, { sentAtMs: 101 })];
  const others = ['e', 'f', 'g'].map((id) => crash(id, 105));
  expect(evaluate([suspect('popular', crashes)], others)).to.equal(false);
});

test('copies that arrive at once are found to cause crashes only after one further crash', () => {
  const crashes = ['a', 'b', 'c', 'd', 'e'].map((id) => crash(id, 100));
  expect(evaluate([suspect('x', crashes)])).to.equal(false);
  expect(evaluate([suspect('x', [...crashes, crash('f', 2000)])])).to.equal(true);
});

test('a suspect that was always present with another one is not blocked until a crash tells them apart', () => {
  const crashes = [crash('a', 100), crash('b', 200), crash('c', 500)];
  expect(evaluate([suspect('x', crashes), suspect('y', [...crashes])])).to.equal(false);
  const next = [...crashes, crash('d', 900)];
  expect(evaluate([suspect('x', next), suspect('y', crashes)])).to.equal(true);
  expect(evaluate([suspect('y', crashes), suspect('x', next)])).to.equal(false);
});

test('crashes of a blocked request count for no other suspect', () => {
  const crashes = [crash('a', 100), crash('b', 200), crash('c', 500)];
  const known = suspect('x', crashes, { blockedSinceMs: 600 });
  const beside = suspect('y', [...crashes, crash('d', 700)]);
  expect(evaluate([beside, known])).to.equal(false);
});

test('crashes that a blocked part explains add no rounds to those of another part', () => {
  const explained = ['a', 'b', 'c', 'd'].map((id, index) => crash(id, 100 + index * 300));
  const cause = suspect('part:pool/two', explained, { blockedSinceMs: 2500 });
  const own = [crash('e', 3000), crash('f', 3010), crash('g', 6000)];
  const others = [crash('h', 5000), crash('i', 5500)];
  const beside = suspect('part:pool/one', [...explained, ...own]);
  expect(evaluate([beside, cause], others)).to.equal(false);
  const third = suspect('part:pool/one', [...explained, ...own, crash('j', 8000)]);
  expect(evaluate([third, cause], others)).to.equal(true);
});

test('five crashes in three rounds suffice whichever other suspects were present', () => {
  const crashes = ['a', 'b', 'c', 'd', 'e'].map((id, index) => crash(id, 100 + index * 100));
  expect(evaluate([suspect('x', crashes), suspect('y', [...crashes])])).to.equal(true);
});

test('two incarnations of one id are two crashes, two reports of one incarnation are one', () => {
  expect(isSameCrash(crash('a', 100), crash('a', 9000))).to.equal(true);
  expect(isSameCrash(crash('a', 100), crash('a', 200, { bornAtMs: 2 }))).to.equal(false);
  const untold = { bornAtMs: undefined };
  expect(isSameCrash(crash('a', 100, untold), crash('a', 130, untold))).to.equal(true);
  expect(isSameCrash(crash('a', 100, untold), crash('a', 3000, untold))).to.equal(false);
});

test('a request that was open for long without an event is less likely than a recent one', () => {
  const alone = crash('a', 100, { sentAtMs: -900 });
  const ends = [crash('b', 1500), crash('c', 2700)];
  const long = ends.map((end) => ({ ...end, sentAtMs: end.endedAtMs - 1200 }));
  const culprit = suspect('x', ends);
  const innocent = suspect('y', [alone, ...long]);
  expect(evaluate([innocent, culprit])).to.equal(false);
  const third = crash('d', 4000);
  expect(evaluate([suspect('x', [...ends, third]), innocent])).to.equal(true);
});

test('a request sent 5 ms before a crash is no likelier than one sent 150 ms before', () => {
  const ends = [crash('a', 1000), crash('b', 2000), crash('c', 3000)];
  const culprit = suspect(
    'x',
    ends.map((end) => ({ ...end, sentAtMs: end.endedAtMs - 150 })),
  );
  const near = ends.map((end) => ({ ...end, sentAtMs: end.endedAtMs - 5 }));
  const others = [suspect('y', near.slice(0, 2)), suspect('z', near.slice(2))];
  expect(evaluate([culprit, ...others])).to.equal(true);
});

const PART = 'part:pool/one';

test('two parts that crash servers at the same moments are both blocked', () => {
  const crashesOf = (ids: readonly string[], shiftMs: number) =>
    ids.map((id, index) => crash(id, 100 + index * 300 + shiftMs));
  const one = suspect(PART, crashesOf(['a', 'b', 'c'], 0));
  const two = suspect('part:pool/two', crashesOf(['d', 'e', 'f'], 20));
  expect(evaluate([one, two])).to.equal(true);
  expect(evaluate([two, one])).to.equal(true);
});

test('a part is not blocked for crashes at moments at which several other servers end', () => {
  const crashes = ['a', 'b', 'c'].map((id, index) => crash(id, 100 + index * 300));
  const others = crashes.flatMap(({ endedAtMs }, index) =>
    ['x', 'y'].map((id) => crash(`${id}${index}`, endedAtMs + 10)),
  );
  expect(evaluate([suspect(PART, crashes)], others)).to.equal(false);
});

test('crashes that a blocked part explains are no common cause', () => {
  const crashes = ['a', 'b', 'c'].map((id, index) => crash(id, 100 + index * 300));
  const others = crashes.flatMap(({ endedAtMs }, index) =>
    ['x', 'y'].map((id) => crash(`${id}${index}`, endedAtMs + 10)),
  );
  const blocked = suspect('part:pool/two', others, { blockedSinceMs: 900 });
  expect(evaluate([suspect(PART, crashes), blocked])).to.equal(true);
});
