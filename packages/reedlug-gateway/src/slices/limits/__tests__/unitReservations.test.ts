/** Tests reservations of units over several boxes: limits stay exact, and lost knowledge frees units. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  createServingBox,
  facts,
  listBoxes,
  peerMessage,
  settings,
} from '../../../__tests__/__fixtures__/box.js';
import {
  playReservingScene,
  unitsAllowed,
  type ReservingScene,
} from './__fixtures__/reservingFleet.js';
import { maxUnitsInWindow } from './__fixtures__/unitsInWindow.js';

const BASE: ReservingScene = {
  boxes: 6,
  demand: 3,
  seed: 7,
  reserves: true,
  durationMs: 16_000,
};

const sceneArbitrary: fc.Arbitrary<ReservingScene> = fc.record({
  boxes: fc.integer({ min: 2, max: 9 }),
  demand: fc.double({ min: 0.5, max: 5, noNaN: true }),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  reserves: fc.constant(true),
  durationMs: fc.constant(14_000),
  lost: fc.double({ min: 0, max: 0.4, noNaN: true }),
  doubled: fc.double({ min: 0, max: 0.4, noNaN: true }),
  late: fc.double({ min: 0, max: 0.4, noNaN: true }),
  older: fc.constantFrom(0, 0.5),
  restarts: fc.array(
    fc.record({
      box: fc.constantFrom(0, 1),
      atMs: fc.integer({ min: 20, max: 260 }).map((ticks) => ticks * 50),
    }),
    { maxLength: 2 },
  ),
  cut: fc.record({
    atMs: fc.integer({ min: 1000, max: 9000 }),
    forMs: fc.integer({ min: 0, max: 6000 }),
    isHot: fc.boolean(),
  }),
});

// Guards against units that are added by a reservation, a loan that counts twice, or a second round of loans.
test('no window exceeds the limit with reservations, through lost, doubled and late datagrams, restarts and partitions', () => {
  fc.assert(
    fc.property(sceneArbitrary, (scene) => {
      const { admitted, leftOver } = playReservingScene(scene);
      expect(maxUnitsInWindow(admitted)).to.be.at.most(unitsAllowed());
      expect(leftOver).to.equal(0);
    }),
    {
      numRuns: Number(process.env['RESERVATION_RUNS'] ?? 15),
      seed: Number(process.env['RESERVATION_SEED'] ?? 4711),
    },
  );
});

// Guards against a loan that is spent twice because its datagram arrived twice.
test('a doubled datagram of a loan counts once, with and without reservations', () => {
  for (const reserveLimitUnits of [false, true]) {
    const box = createServingBox(settings({ limitOverShare: 0 }, { reserveLimitUnits }));
    const { host, port, zone } = peerMessage();
    listBoxes(box, [{ boxId: 'box-2', host, port, zone, processorCores: 1 }]);
    box.take({ type: 'peerMessage', message: peerMessage({ room: { tiger: 20_000 } }) });
    const request = facts({ promptTokens: 30_000, maxOutputTokens: 0 });
    box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
    const [askId = 0] = box.state.unitRequests.keys();
    const lender = { boxId: 'box-2', host, port, incarnation: 1 };
    const loan = { kind: 'unitsLent' as const, ...lender, askId, units: 4000 };
    const borrowed = (): number =>
      box.state.quotas.get('tiger')?.loans.reduce((sum, { units }) => sum + units, 0) ?? 0;
    for (let times = 0; times < 2; times += 1) {
      box.take({ type: 'unitsLent', message: { ...loan, loanId: 9 } });
      expect(borrowed()).to.equal(4000);
    }
    box.take({ type: 'unitsLent', message: { ...loan, units: 3000, loanId: 10 } });
    expect(borrowed()).to.equal(7000);
  }
});

// Guards against starvation by size.
test('large requests of a workspace over its limit are served more often, and no fewer units in total', () => {
  const seeds = [1, 2, 3, 4];
  const sumOf = (reserves: boolean) => {
    const runs = seeds.map((seed) => playReservingScene({ ...BASE, seed, reserves }));
    const sum = (of: (run: (typeof runs)[number]) => number): number =>
      runs.reduce((total, run) => total + of(run), 0);
    return {
      large: sum(({ servedLarge }) => servedLarge) / sum(({ askedLarge }) => askedLarge),
      units: sum(({ admitted }) => admitted.reduce((total, { units }) => total + units, 0)),
    };
  };
  const [withReservations, without] = [sumOf(true), sumOf(false)];
  expect(withReservations.large).to.be.greaterThan(without.large);
  expect(withReservations.units).to.be.greaterThan(without.units * 0.97);
});

// Guards against reservations that no caller's return ever matches.
test('callers that return are recognised at whichever box they reach', () => {
  const { returnTries, returns } = playReservingScene(BASE);
  expect(returns).to.be.greaterThan(10);
  expect(returns / returnTries).to.be.greaterThan(0.3);
});

// Guards against an effect of the switch while a workspace is far from its limit.
test('a workspace within its limit causes no reservation and no refusal', () => {
  const run = playReservingScene({ ...BASE, demand: 0.8 });
  expect(run.reservations).to.equal(0);
  expect(run.served).to.equal(run.asked);
});

// Guards against units that stay withheld for a box that is gone.
test('reservations of a lost box expire', () => {
  const ends = [1, 2, 3].map((box) => ({ box, atMs: 15_950 }));
  expect(playReservingScene({ ...BASE, ends }).leftOver).to.equal(0);
});

// Guards against members that wait for what a lost hub knew.
test('with hubs, the loss of boxes that may be hubs leaves limits exact and frees reservations', () => {
  const ends = [0, 1, 2, 3].map((box) => ({ box, atMs: 8000 }));
  const run = playReservingScene({ ...BASE, boxes: 20, ends });
  expect(run.returns).to.be.greaterThan(0);
  expect(maxUnitsInWindow(run.admitted)).to.be.at.most(unitsAllowed());
  expect(run.leftOver).to.equal(0);
});

// Guards against boxes of an older version that are starved, or that break the limit, beside newer ones.
test('older boxes beside ignore reservations and still serve', () => {
  const run = playReservingScene({ ...BASE, older: 0.5 });
  const without = playReservingScene({ ...BASE, reserves: false });
  expect(maxUnitsInWindow(run.admitted)).to.be.at.most(unitsAllowed());
  expect(run.served).to.be.greaterThan(without.served * 0.8);
});

// Guards against a zone that withholds its few units for callers in the other zones.
test('a zone that is cut off with nine of ten requests of a workspace goes on within the limit', () => {
  const cut = { atMs: 4000, forMs: 8000, isHot: true };
  const unitsOf = (reserves: boolean): number => {
    const runs = [1, 2, 3].map((seed) =>
      playReservingScene({ ...BASE, seed, boxes: 9, demand: 1.5, cut, reserves }),
    );
    for (const { admitted } of runs) {
      expect(maxUnitsInWindow(admitted)).to.be.at.most(unitsAllowed());
    }
    return runs.flatMap(({ admitted }) => admitted).reduce((sum, { units }) => sum + units, 0);
  };
  expect(unitsOf(true)).to.be.greaterThan(unitsOf(false) * 0.97);
});

// Guards against units reserved by the earlier limit that are spent by the lower one.
test('a limit that is lowered while units are reserved binds a window later', () => {
  const lowered = { atMs: 6000, factor: 0.4 };
  const run = playReservingScene({ ...BASE, lowered, durationMs: 22_000 });
  expect(run.reservations).to.be.greaterThan(0);
  expect(maxUnitsInWindow(run.admitted)).to.be.at.most(unitsAllowed());
  expect(maxUnitsInWindow(run.admitted, 14_100)).to.be.at.most(unitsAllowed(0.4));
});
