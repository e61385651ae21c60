import { promisify } from 'node:util';
import { gzip } from 'node:zlib';
import { expect } from 'chai';
import fc from 'fast-check';
import { configuration, route } from '../../__tests__/__fixtures__/box.js';
import type { Configuration, RouteSpec } from '../../types/configuration.js';
import {
  applyConfigurationDelta,
  configurationDelta,
} from '../stateTransfer/configurationDelta.js';
import { encodeWhole } from '../stateTransfer/encodeWhole.js';
import { decodeConfiguration, digestOf, encodeDelta } from '../stateTransfer/transferWire.js';
import { largeConfiguration } from './__fixtures__/largeConfiguration.js';

/** Lists of routes with unique names out of few, so that two of them share, change and move routes. */
const routes: fc.Arbitrary<RouteSpec[]> = fc
  .uniqueArray(
    fc.record({
      name: fc.constantFrom(...'abcdefghij'),
      timeoutMs: fc.integer({ min: 1, max: 3 }),
    }),
    { selector: ({ name }) => name },
  )
  .map((specs) => specs.map(({ name, timeoutMs }) => route({ name, timeoutMs })));

const withRoutes = (version: number, list: readonly RouteSpec[]): Configuration => ({
  ...configuration({ version }),
  routes: list,
});

/** Returns what a box with `base` makes of the bytes of the delta to `next`. */
async function transferDelta(base: Configuration, next: Configuration): Promise<unknown> {
  const delta = configurationDelta(base, next);
  if (delta === undefined) throw new Error('no delta');
  return decodeConfiguration(encodeDelta(delta, await encodeWhole(next)), base);
}

test('a delta leads to exactly the newer version, the order of its routes included', () =>
  fc.assert(
    fc.asyncProperty(routes, routes, async (before, after) => {
      const base = withRoutes(1, before);
      const next = withRoutes(2, after);
      expect(await transferDelta(base, next)).to.deep.equal({
        kind: 'configuration',
        form: 'delta',
        configuration: next,
      });
    }),
  ));

test('services, workspaces and limits that change are part of a delta', async () => {
  const base = configuration();
  const [records, engines] = base.services;
  const [tiger] = base.workspaces;
  if (records === undefined || engines === undefined || tiger === undefined) throw new Error();
  const next: Configuration = {
    ...base,
    version: 7,
    services: [{ ...engines, scaling: undefined }, records],
    workspaces: [{ ...tiger, name: 'lynx' }],
    limits: { ...base.limits, maxBodyBytes: 5 },
  };
  expect(await transferDelta(base, next)).to.deep.include({ configuration: next });
});

test('a delta holds only what is new, changed or moved', () => {
  const base = withRoutes(
    1,
    [...'abcdef'].map((name) => route({ name })),
  );
  const moved = [...'fabxd'].map((name) => route({ name, timeoutMs: name === 'd' ? 9 : 600 }));
  const delta = configurationDelta(base, withRoutes(2, moved));
  const placed = delta?.routes.placed.map(([position, { name }]) => [position, name]);
  expect(placed).to.deep.equal([
    [0, 'f'],
    [3, 'x'],
    [4, 'd'],
  ]);
  expect(delta?.routes.removed).to.deep.equal(['c', 'e']);
  expect(delta?.services).to.deep.equal({ placed: [], removed: [] });
});

test('there is no delta between lists in which a name occurs twice', () => {
  const twice = withRoutes(2, [route({ timeoutMs: 1 }), route({ timeoutMs: 2 })]);
  expect(configurationDelta(configuration(), twice)).to.equal(undefined);
  expect(configurationDelta(twice, configuration({ version: 3 }))).to.equal(undefined);
});

test('a delta is not applied to another version, nor to another content of its version', async () => {
  const base = configuration();
  const next = withRoutes(2, base.routes.slice(1));
  const delta = configurationDelta(base, next);
  if (delta === undefined) throw new Error('no delta');
  expect(applyConfigurationDelta({ ...base, version: 5 }, delta)).to.equal(undefined);
  const bytes = encodeDelta(delta, await encodeWhole(next));
  // As after a restore of the store from a backup, when a version number is given out a second time.
  const [lookup, ...others] = base.routes;
  if (lookup === undefined) throw new Error('no route');
  const sameVersion = withRoutes(1, [
    lookup,
    ...others.map((other) => ({ ...other, priority: 9 })),
  ]);
  expect(await decodeConfiguration(bytes, sameVersion)).to.deep.equal({ kind: 'otherBase' });
  expect(await decodeConfiguration(bytes, undefined)).to.deep.equal({ kind: 'otherBase' });
});

test('a delta is applied whatever the order of the fields in which the store gave the version', async () => {
  const base = configuration();
  const { version, routes: list, ...others } = base;
  const next: Configuration = { ...others, routes: list.slice(1), version: version + 1 };
  expect(await transferDelta(base, next)).to.deep.include({ kind: 'configuration' });
});

test('malformed positions of a delta lead to no configuration', () => {
  const base = withRoutes(
    1,
    [...'abc'].map((name) => route({ name })),
  );
  const delta = configurationDelta(base, { ...base, version: 2 });
  if (delta === undefined) throw new Error('no delta');
  const added = (positions: number[]) =>
    positions.map((position, index) => [position, route({ name: `new-${index}` })] as const);
  for (const placed of [added([7]), added([1, 1]), added([2, 0])]) {
    const broken = { ...delta, routes: { placed, removed: [] } };
    expect(applyConfigurationDelta(base, broken)).to.equal(undefined);
  }
  const removesUnknown = { ...delta, routes: { placed: [], removed: ['z'] } };
  expect(applyConfigurationDelta(base, removesUnknown)).to.equal(undefined);
});

test('the whole is encoded in steps to what it is decoded from, with equal bytes for equal versions', async () => {
  const large = largeConfiguration(3, 400);
  const bytes = await encodeWhole(large);
  expect(await decodeConfiguration(bytes, undefined)).to.deep.equal({
    kind: 'configuration',
    form: 'whole',
    configuration: large,
  });
  expect(digestOf(await encodeWhole(largeConfiguration(3, 400)))).to.equal(digestOf(bytes));
});

const gzipAsync = promisify(gzip);

test('of 2,000 routes, the whole is sent in a sixth of its bytes, and one changed route in less than 1 KB', async () => {
  const figures: Record<string, number[]> = {};
  const measure = async <T>(name: string, run: () => T | Promise<T>): Promise<T> => {
    const startedAtMs = performance.now();
    const result = await run();
    const tookMs = Math.round((performance.now() - startedAtMs) * 10) / 10;
    figures[name] = [...(figures[name] ?? []), tookMs];
    return result;
  };
  const sizes: Record<string, number> = {};
  for (let round = 0; round < 5; round += 1) {
    // Two readings of the store share no objects.
    const base = largeConfiguration(1, 2000);
    const next = largeConfiguration(2, 2000);
    const changed = next.routes[1000];
    if (changed !== undefined) Object.assign(changed, { timeoutMs: 9999 });
    const whole = await measure('encodeWholeMs', () => encodeWhole(next));
    const compressed = await measure('compressWholeMs', () => gzipAsync(whole));
    const decoded = await measure('decodeWholeMs', () => decodeConfiguration(whole, base));
    expect(decoded.kind).to.equal('configuration');
    const delta = await measure('deltaMs', () => configurationDelta(base, next));
    if (delta === undefined) throw new Error('no delta');
    const bytes = encodeDelta(delta, whole);
    const compressedDelta = await measure('compressDeltaMs', () => gzipAsync(bytes));
    const applied = await measure('applyDeltaMs', () => decodeConfiguration(bytes, base));
    expect(applied).to.deep.include({ kind: 'configuration', configuration: next });
    Object.assign(sizes, { whole: whole.length, compressed: compressed.length });
    Object.assign(sizes, { delta: bytes.length, compressedDelta: compressedDelta.length });
    expect(compressed.length).to.be.below(whole.length / 6);
    expect(compressedDelta.length).to.be.below(1024);
  }
  if (process.env['TRANSFER_FIGURES'] !== undefined) {
    process.stdout.write(`${JSON.stringify({ sizes, figures })}\n`);
  }
});
