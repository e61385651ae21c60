import { expect } from 'chai';
import { expectGuaranteesKept, SEEDS } from './__fixtures__/expectGuaranteesKept.js';
import { runSceneFile } from './__fixtures__/runSceneFile.js';

/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;
/** One in five hundred: refusals that no fleet can avoid when a server starts to refuse. */
const MAX_REFUSED_SHARE = 0.002;

test('no request reaches a server whose answer announced draining', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(['leaving-unlisted', 'leaving-all', 'leaving-next-life']);
});

test('a server that requests a long pause gets all of it', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(['rest-all', 'rest-long', 'rest-full', 'rest-hour']);
});

test('almost no caller is refused because of refusing servers while others are free', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  for (const seed of SEEDS) {
    const { refusedBy, whole } = await runSceneFile('refusing', seed);
    const refused = refusedBy['503 refused503'] ?? 0;
    expect(refused / whole.asked, `seed ${seed}`).to.be.below(MAX_REFUSED_SHARE);
  }
});
