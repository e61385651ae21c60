import { expectGuaranteesKept } from './__fixtures__/expectGuaranteesKept.js';

const SCENES = [
  'limited-base',
  'limited-all',
  'limited-falling',
  'limited-killed',
  'limited-cut',
] as const;
/** The same in fleets with hubs. */
const LARGE_SCENES = ['limited-24', 'limited-69'] as const;
/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;

test('servers that name a limit get no more from all boxes together', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(SCENES);
});

test('servers that name a limit get no more in fleets with hubs', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(LARGE_SCENES);
});
