import { expect } from 'chai';
import fc from 'fast-check';
import { hashString } from 'reedlug-coordination';
import { createBox, server } from '../../__tests__/__fixtures__/box.js';
import type { ServerView } from '../../types/views.js';
import {
  placeBySize,
  PlacementOutcome,
  sizeNeed,
  type Placement,
  type ServerEvaluation,
} from '../placeBySize.js';
import type { ReservedRoom } from '../sizeDemand.js';

const TOKENS_PER_MS = 66;
const TARGET_MS = 1000;

/** A server of a drawn fleet, as a box sees it. */
interface DrawnServer {
  speed: number;
  /** Prompt tokens that it processes first. */
  tokensAhead: number;
  /** Added to its cost, as for failures. */
  failureMs: number;
  isLimited: boolean;
}

const idle = (speed: number): DrawnServer => ({
  ...{ speed, tokensAhead: 0, failureMs: 0, isLimited: false },
});

function createViews(count: number): ServerView[] {
  const box = createBox();
  const entries = Array.from({ length: count }, (_, index) => server(`engine-${index}`));
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return [...box.state.servers.values()];
}

const allViews = createViews(300);

interface Outcome {
  placement: Placement<ServerEvaluation> | undefined;
  chosen: DrawnServer;
  waitMs: (drawn: DrawnServer) => number;
  minSpeed: number;
}

/** Places a prompt; undefined if placement by size does not apply. */
function place(
  fleet: readonly DrawnServer[],
  request: { tokens: number; id?: string; sharedPart?: string; room?: ReservedRoom },
): Outcome | undefined {
  const { tokens, id = 'request', sharedPart, room } = request;
  const drawnOf = new Map(fleet.map((drawn, index) => [allViews[index] as ServerView, drawn]));
  const of = (view: ServerView): DrawnServer => drawnOf.get(view) as DrawnServer;
  const waitMs = ({ speed, tokensAhead }: DrawnServer): number =>
    (tokensAhead + tokens) / TOKENS_PER_MS / speed;
  const speeds = fleet.map(({ speed }) => speed);
  const range = { slowest: Math.min(...speeds), fastest: Math.max(...speeds) };
  const need = sizeNeed({ idleMs: tokens / TOKENS_PER_MS, targetMs: TARGET_MS, range });
  if (need === undefined) return undefined;
  const placement = placeBySize<ServerEvaluation>({
    candidates: [...drawnOf.keys()],
    isLimited: (view) => of(view).isLimited,
    probeTarget: undefined,
    requestHash: hashString(id),
    sharedPartHash: sharedPart === undefined ? undefined : hashString(sharedPart),
    need,
    range,
    speedOf: (view) => of(view).speed,
    ...(room && { room }),
    evaluate: (view) => {
      const drawn = of(view);
      return { view, waitMs: waitMs(drawn), costMs: waitMs(drawn) + drawn.failureMs };
    },
  });
  const chosen = of(placement?.evaluation.view as ServerView);
  return { placement, chosen, waitMs, minSpeed: need.minSpeed };
}

const drawnServer = fc.record({
  speed: fc.constantFrom(0.7, 0.7, 1.7),
  tokensAhead: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 200_000 })),
  failureMs: fc.constantFrom(0, 0, 0, 60),
  isLimited: fc.boolean(),
});
const drawnFleet = fc.array(drawnServer, { minLength: 1, maxLength: 80 });

test('a long prompt never goes to a server that misses its target while one that meets it has room', () => {
  fc.assert(
    fc.property(
      drawnFleet,
      fc.integer({ min: 1, max: 70_000 }),
      fc.string(),
      fc.option(fc.string(), { nil: undefined }),
      (fleet, tokens, id, sharedPart) => {
        const outcome = place(fleet, {
          ...{ tokens, id },
          ...(sharedPart !== undefined && { sharedPart }),
        });
        if (outcome === undefined) return;
        const { waitMs, chosen, minSpeed } = outcome;
        const hasRoom = fleet.some(
          (drawn) => drawn.speed >= minSpeed && waitMs(drawn) <= TARGET_MS,
        );
        if (hasRoom) expect(waitMs(chosen)).to.be.at.most(TARGET_MS);
      },
    ),
    { numRuns: 2000 },
  );
});

test('when no server starts a prompt in time, it goes to the best of a small fleet', () => {
  fc.assert(
    fc.property(
      fc.array(drawnServer, { minLength: 1, maxLength: 12 }),
      fc.integer({ min: 20_000, max: 70_000 }),
      fc.string(),
      (fleet, tokens, id) => {
        const outcome = place(fleet, { tokens, id });
        if (outcome === undefined) return;
        const { waitMs, chosen, placement } = outcome;
        if (fleet.some((drawn) => waitMs(drawn) <= TARGET_MS)) return;
        const costMs = (drawn: DrawnServer): number => waitMs(drawn) + drawn.failureMs;
        expect(placement?.outcome).to.equal(PlacementOutcome.late);
        expect(costMs(chosen)).to.equal(Math.min(...fleet.map(costMs)));
      },
    ),
  );
});

test('with all fast servers full, a long prompt goes to one of the others among many', () => {
  const fleet = Array.from({ length: 78 }, (_, index) =>
    index % 3 === 0 ? { ...idle(1.7), tokensAhead: 900_000 } : idle(0.7),
  );
  const outcome = place(fleet, { tokens: 60_000 });
  expect(outcome?.chosen.speed).to.equal(0.7);
  expect(outcome?.placement?.outcome).to.equal(PlacementOutcome.late);
});

test('one fast server with room is found among many', () => {
  for (let index = 0; index < 200; index += 1) {
    const fleet = Array.from({ length: 78 }, (_, at) =>
      at % 3 === 0 ? { ...idle(1.7), tokensAhead: 900_000 } : idle(0.7),
    );
    fleet[(index * 3) % 78] = idle(1.7);
    const outcome = place(fleet, { tokens: 60_000, id: `request-${index}` });
    expect(outcome?.chosen.tokensAhead).to.equal(0);
    expect(outcome?.chosen.speed).to.equal(1.7);
  }
});

test('servers of one speed, and prompts too long for all, are placed without regard to size', () => {
  expect(place([idle(1), idle(1), idle(1)], { tokens: 60_000 })).to.equal(undefined);
  expect(place([idle(0.7), idle(1.7)], { tokens: 200_000 })).to.equal(undefined);
});

test('long prompts with one shared part go to one fast server', () => {
  const fleet = Array.from({ length: 78 }, (_, index) => idle(index % 3 === 0 ? 1.7 : 0.7));
  const chosen = new Set<ServerView | undefined>();
  for (let index = 0; index < 50; index += 1) {
    const request = { tokens: 50_000 + index, id: `request-${index}`, sharedPart: 'part' };
    const evaluation = place(fleet, request)?.placement?.evaluation;
    expect(fleet[allViews.indexOf(evaluation?.view as ServerView)]?.speed).to.equal(1.7);
    chosen.add(evaluation?.view);
  }
  // The stand-in for the evaluation knows no cache, so that equal costs leave the first rank.
  expect(chosen.size).to.equal(1);
});

test('a busy preferred server of a shared part gives way to the next rank', () => {
  const fleet = Array.from({ length: 78 }, () => idle(1.7));
  fleet[0] = idle(0.7);
  const request = { tokens: 50_000, sharedPart: 'part' };
  const first = place(fleet, request)?.placement?.evaluation.view as ServerView;
  fleet[allViews.indexOf(first)] = { ...idle(1.7), tokensAhead: 900_000 };
  const outcome = place(fleet, request);
  expect(outcome?.placement?.outcome).to.equal(PlacementOutcome.inTime);
  expect(outcome?.placement?.evaluation.view).not.to.equal(first);
});

test('no limited server is preferred for a shared part', () => {
  const fleet = Array.from({ length: 78 }, (_, index) => idle(index === 0 ? 0.7 : 1.7));
  const request = { tokens: 50_000, sharedPart: 'part' };
  const first = place(fleet, request)?.placement?.evaluation.view as ServerView;
  fleet[allViews.indexOf(first)] = { ...idle(1.7), isLimited: true };
  expect(place(fleet, request)?.placement?.evaluation.view).not.to.equal(first);
});

const room = { fromSpeed: 1, chargeShare: 0.2 };

test('a short prompt leaves the fast servers to long ones while it loses nothing that it needs', () => {
  const fleet = Array.from({ length: 78 }, (_, index) => idle(index % 3 === 0 ? 1.7 : 0.7));
  let fast = 0;
  for (let index = 0; index < 100; index += 1) {
    const outcome = place(fleet, { tokens: 830, id: `request-${index}`, room });
    if (outcome?.chosen.speed === 1.7) fast += 1;
  }
  // One sample in 81 has only fast servers.
  expect(fast).to.be.lessThan(5);
});

test('short prompts use the fast servers once the others are busy', () => {
  // Fast servers hold more than half of the capacity: leaving them idle would cost more than it saves.
  const fleet = Array.from({ length: 78 }, (_, index) =>
    index % 3 === 0 ? idle(1.7) : { ...idle(0.7), tokensAhead: 14_000 },
  );
  let fast = 0;
  for (let index = 0; index < 100; index += 1) {
    const outcome = place(fleet, { tokens: 830, id: `request-${index}`, room });
    if (outcome?.chosen.speed === 1.7) fast += 1;
  }
  // All but the samples without a fast server.
  expect(fast).to.be.greaterThan(70);
});

test('leaving room never makes a request late or moves it to a wait above half of its target', () => {
  fc.assert(
    fc.property(
      drawnFleet,
      fc.integer({ min: 1, max: 20_000 }),
      fc.string(),
      (fleet, tokens, id) => {
        const request = { tokens, id };
        const usual = place(fleet, request);
        const outcome = place(fleet, { ...request, room });
        if (outcome?.placement === undefined || usual === undefined) return;
        const { chosen, waitMs, placement } = outcome;
        expect(placement.outcome).to.equal(usual.placement?.outcome);
        if (placement.leavesRoom) expect(waitMs(chosen)).to.be.at.most(TARGET_MS / 2);
        else expect(chosen).to.equal(usual.chosen);
      },
    ),
  );
});

test('at most 64 servers and the samples are evaluated, however many are busy', () => {
  const fleet = Array.from({ length: 300 }, (_, index) => ({
    ...idle(index === 0 ? 0.7 : 1.7),
    tokensAhead: 900_000,
  }));
  const outcome = place(fleet, { tokens: 50_000, sharedPart: 'part' });
  expect(outcome?.placement?.evaluated).to.be.at.most(64 + 8);
});
