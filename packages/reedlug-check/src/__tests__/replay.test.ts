import { createHash } from 'node:crypto';
import { readdirSync, readFileSync } from 'node:fs';
import { expect } from 'chai';
import { parse } from 'yaml';
import { differences, parseTrace, replayTrace, type Expectation } from '../replay/trace.js';

const TRACES = new URL('../../../../traces/', import.meta.url);

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function replay(name: string) {
  const parsed = parseTrace(readFileSync(new URL(`${name}.trace`, TRACES), 'utf8'));
  if (parsed.kind === 'invalid') throw new Error(parsed.fault);
  return replayTrace(parsed.trace, sha256);
}

const names = readdirSync(TRACES)
  .filter((file) => file.endsWith('.trace'))
  .map((file) => file.slice(0, -'.trace'.length));

for (const name of names) {
  test(`trace ${name} replays with its expected outcomes`, () => {
    const expected = parse(readFileSync(new URL(`${name}.yaml`, TRACES), 'utf8')) as Expectation;
    expect(Object.keys(expected.outcomes).length).greaterThan(5);
    expect(differences(replay(name), expected)).deep.equal([]);
  });
}

test('a replay gives the same effects each time', () => {
  expect(replay('zone-reclaimed').effectsDigest).equal(replay('zone-reclaimed').effectsDigest);
});

test('a wrong outcome is reported', () => {
  const expected = { effectsDigest: undefined, outcomes: { nobody: { outcome: 'completed' } } };
  expect(differences(replay('zone-reclaimed'), expected)).length(1);
});

test('an incomplete last line is ignored', () => {
  const text = readFileSync(new URL('zone-reclaimed.trace', TRACES), 'utf8');
  const cut = parseTrace(text.slice(0, -20));
  const whole = parseTrace(text);
  if (cut.kind === 'invalid' || whole.kind === 'invalid') throw new Error('not read');
  expect(cut.trace.events.length).equal(whole.trace.events.length - 1);
});
