import { expect } from 'chai';
import { expectGuaranteesKept, SEEDS } from './__fixtures__/expectGuaranteesKept.js';
import { runSceneFile } from './__fixtures__/runSceneFile.js';

/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;
/** One in five hundred: what no fleet keeps from its callers as a server begins to refuse. */
const MAX_REFUSED_SHARE = 0.002;

test('no request reaches a server whose answer said that it leaves', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(['leaving-unlisted', 'leaving-all', 'leaving-next-life']);
});

test('a server that asks for a long rest gets it whole', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(['rest-all', 'rest-long', 'rest-full', 'rest-hour']);
});

test('no caller is refused for servers that refuse while others are free', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  for (const seed of SEEDS) {
    const { refusedBy, whole } = await runSceneFile('refusing', seed);
    const refused = refusedBy['503 refused503'] ?? 0;
    expect(refused / whole.asked, `seed ${seed}`).to.be.below(MAX_REFUSED_SHARE);
  }
});
