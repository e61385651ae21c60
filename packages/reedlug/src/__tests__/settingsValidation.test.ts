import { expect } from 'chai';
import { readFile } from 'node:fs/promises';
import { validateSettings } from '../settings/settingsValidation.js';

const EXAMPLE = new URL('../../../../examples/bangkok.yaml', import.meta.url);

async function faultsOf(change: (text: string) => string): Promise<string[]> {
  const result = validateSettings(change(await readFile(EXAMPLE, 'utf8')));
  if (result.kind === 'valid') return [];
  return result.faults.map((fault) => `${fault.line} ${fault.path}: ${fault.message}`);
}

test('both examples are valid', async () => {
  for (const name of ['bangkok', 'ankara']) {
    const text = await readFile(new URL(`./${name}.yaml`, EXAMPLE), 'utf8');
    expect(validateSettings(text).kind).equal('valid');
  }
});

test('unknown keys and wrong types are reported together', async () => {
  const faults = await faultsOf((text) =>
    text.replace('timeoutMs: 1000', 'timeout: 1s').replace('slots: 12', 'slots: twelve'),
  );
  expect(faults).length(2);
  expect(faults.join('\n')).match(/platform\.timeout: unknown key/);
  expect(faults.join('\n')).match(/engines\.0\.slots: .*number/);
});

test('a fault states its line', async () => {
  const text = await readFile(EXAMPLE, 'utf8');
  const line = text.split('\n').findIndex((item) => item.includes('slots: 12')) + 1;
  const [fault] = await faultsOf((all) => all.replace('slots: 12', 'slots: -1'));
  expect(fault).match(new RegExp(`^${line} engines\\.0\\.slots`));
});

test('an engine in an unknown zone is refused', async () => {
  const faults = await faultsOf((text) =>
    text.replace('    zone: hall-a\n    model', '    zone: hall-x\n    model'),
  );
  expect(faults).length(1);
  expect(faults[0]).match(/zone hall-x is not among zones: hall-a, hall-b, hall-c/);
});

test('broken YAML is invalid', () => {
  const result = validateSettings('zones: [\nboxes: }');
  expect(result.kind).equal('invalid');
});
