import { expect } from 'chai';
import fc from 'fast-check';
import { hashString, rendezvousWeight } from 'reedlug-coordination';
import {
  createBox,
  facts,
  server,
  settings,
  type TestBox,
} from '../../__tests__/__fixtures__/box.js';
import type { PromptPart, RequestFacts } from '../../types/request.js';
import { chooseServer } from '../chooseServer.js';

/** Creates a box that knows this many idle engines. */
function createBoxWith(engines: number, boxSettings = settings()): TestBox {
  const box = createBox(boxSettings);
  const entries = Array.from({ length: engines }, (_, index) =>
    server(`engine-${index}`, { service: 'engines' }),
  );
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return box;
}

function chosenFor(box: TestBox, request: RequestFacts): string | undefined {
  const excludedServers = new Set<string>();
  const params = { service: 'engines', facts: request, urgency: 5, excludedServers, nowMs: 0 };
  return chooseServer(box.state, params)?.view.entry.id;
}

function prompt(index: number, promptParts: readonly PromptPart[] = []): RequestFacts {
  const requestId = `request-${index}`;
  return facts({ requestId, promptTokens: 1000, maxOutputTokens: 10, promptParts });
}

test('boxes that see the same outdated loads do not all choose the same of many engines', () => {
  const counts = new Map<string, number>();
  for (let index = 0; index < 60; index += 1) {
    // Each request arrives at another box, which does not know the other requests.
    const chosen = chosenFor(createBoxWith(30), prompt(index)) ?? '';
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
  }
  expect(counts.size).to.be.greaterThan(18);
  expect(Math.max(...counts.values())).to.be.lessThan(8);
});

test('requests with the same shared prompt part go to one preferred engine among many', () => {
  const parts = [
    { id: 'a1', tokens: 6000 },
    { id: 'own', tokens: 500 },
  ];
  const chosen = new Set(
    Array.from({ length: 20 }, (_, index) => chosenFor(createBoxWith(30), prompt(index, parts))),
  );
  expect(chosen.size).to.equal(1);
});

test('among few engines the least loaded one is chosen', () => {
  const box = createBoxWith(8);
  for (const view of box.state.servers.values())
    view.running = view.entry.id === 'engine-5' ? 0 : 9;
  expect(chosenFor(box, prompt(1))).to.equal('engine-5');
});

/** Creates a box in zone-a that knows engines in five zones, four in each. */
function createBoxOfFiveZones(): TestBox {
  const box = createBox();
  const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d', 'zone-e'];
  const entries = zones.flatMap((zone) =>
    [1, 2, 3, 4].map((index) => server(`${zone}/${index}`, { service: 'engines', zone })),
  );
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return box;
}

function zonesChosen(box: TestBox, staysInZone: boolean): Set<string | undefined> {
  const chosen = Array.from({ length: 40 }, (_, index) => {
    const request = {
      facts: prompt(index),
      urgency: 5,
      excludedServers: new Set<string>(),
      staysInZone,
    };
    return chooseServer(box.state, { service: 'engines', ...request, nowMs: 0 })?.view.entry.zone;
  });
  return new Set(chosen);
}

test('a request that failed to connect stays in the zone of its box', () => {
  const box = createBoxOfFiveZones();
  expect(zonesChosen(box, false).size).to.equal(5);
  expect([...zonesChosen(box, true)]).to.deep.equal(['zone-a']);
});

test('servers in silent zones are left out while there are others', () => {
  const box = createBoxOfFiveZones();
  box.state.silentZones = new Set(['zone-b', 'zone-c', 'zone-d', 'zone-e']);
  expect([...zonesChosen(box, false)]).to.deep.equal(['zone-a']);
  for (const [id, { entry }] of box.state.servers) {
    if (entry.zone === 'zone-a') box.state.servers.delete(id);
  }
  expect(zonesChosen(box, false).size).to.equal(4);
});

test('among many idle engines the one that ranks first for the request is chosen', () => {
  const box = createBoxWith(200);
  for (let index = 0; index < 50; index += 1) {
    const keyHash = hashString(`request-${index}`);
    const ranked = [...box.state.servers.keys()].sort(
      (a, b) => rendezvousWeight(keyHash, hashString(b)) - rendezvousWeight(keyHash, hashString(a)),
    );
    expect(chosenFor(box, prompt(index))).to.equal(ranked[0]);
  }
});

test('a choice among 1,000 engines takes a fraction of a millisecond', () => {
  // Median: 160 µs; hashing and sorting all engines for each request takes 977 µs.
  const box = createBoxWith(1000);
  for (let index = 0; index < 300; index += 1) chosenFor(box, prompt(index));
  const takenMs = Array.from({ length: 100 }, (_, index) => {
    const beganMs = performance.now();
    chosenFor(box, prompt(1000 + index));
    return performance.now() - beganMs;
  }).sort((a, b) => a - b);
  expect(takenMs[50]).to.be.lessThan(0.8);
});

test('without known speeds, placement by size chooses the same server under the same loads', () => {
  const bySize = settings({}, { learnServerSpeeds: true, placeBySize: true });
  const drawnLoads = fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 1, maxLength: 60 });
  const drawnPrompt = fc.record({
    index: fc.nat(),
    promptTokens: fc.integer({ min: 1, max: 60_000 }),
    sharedTokens: fc.option(fc.integer({ min: 1, max: 20_000 }), { nil: undefined }),
  });
  fc.assert(
    fc.property(drawnLoads, drawnPrompt, (loads, { index, promptTokens, sharedTokens }) => {
      const choices = [settings(), bySize].map((boxSettings) => {
        const box = createBoxWith(loads.length, boxSettings);
        for (const [at, view] of [...box.state.servers.values()].entries()) {
          view.running = loads[at] ?? 0;
          view.prefillTokens = view.running * 900;
        }
        const parts = [
          { id: `part-${index % 7}`, tokens: sharedTokens ?? 0 },
          { id: 'own', tokens: promptTokens },
        ];
        const promptParts = sharedTokens === undefined ? [] : parts;
        const request = { ...prompt(index, promptParts), promptTokens };
        return chooseServer(box.state, {
          ...{ service: 'engines', facts: request, urgency: 0, targetMs: 1000, nowMs: 0 },
          excludedServers: new Set<string>(),
        });
      });
      const [today, sized] = choices;
      expect(sized?.placement).to.equal(undefined);
      expect(sized?.view.entry.id).to.equal(today?.view.entry.id);
      expect(sized?.costMs).to.equal(today?.costMs);
    }),
  );
});
