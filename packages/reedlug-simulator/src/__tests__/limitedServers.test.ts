import { expectGuaranteesKept } from './__fixtures__/expectGuaranteesKept.js';

const SCENES = [
  'limited-base',
  'limited-all',
  'limited-falling',
  'limited-killed',
  'limited-cut',
] as const;
/** Similar scenes in fleets with hubs. */
const LARGE_SCENES = ['limited-24', 'limited-69'] as const;
/** Long enough for a loaded machine, in ms. */
const RUN_TIMEOUT_MS = 120_000;

test('all boxes together keep the limits that servers state', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(SCENES);
});

test('fleets with hubs keep the limits that servers state', function () {
  this.timeout(RUN_TIMEOUT_MS);
  return expectGuaranteesKept(LARGE_SCENES);
});
