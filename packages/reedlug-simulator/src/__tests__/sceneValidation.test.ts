import { readFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { readSceneFile } from '../scene/readSceneFile.js';
import { validateScene, type SceneFileError } from '../scene/sceneValidation.js';

const LARGE = fileURLToPath(new URL('../../../../scenes/large.yaml', import.meta.url));

function faultsOf(change: (text: string) => string): SceneFileError[] {
  const read = validateScene(change(readFileSync(LARGE, 'utf8')));
  return read.kind === 'faulty' ? read.faults : [];
}

test('all errors of a scene are reported, each with its line', () => {
  const faults = faultsOf((text) =>
    text.replace('lengthS: 52', 'lengthS: -1').replace('service: pool', 'service: pond'),
  );
  expect(faults.map(({ field }) => field)).to.deep.equal(['lengthS']);
  expect(faults[0]?.line).to.be.greaterThan(1);
  const names = faultsOf((text) => text.replace('service: pool', 'service: pond'));
  expect(names.some(({ message }) => message.includes('no service pond'))).to.equal(true);
});

test('an unknown field is an error', () => {
  const faults = faultsOf((text) => `${text}\nspeed: 9\n`);
  expect(faults).to.have.length(1);
});

test('a file that is not valid YAML is an error', () => {
  const read = validateScene('name: [\n');
  expect(read.kind).to.equal('faulty');
});

test('a fault in an unknown zone is reported', () => {
  const fault = '  - { kind: cutZone, atS: 1, forS: 1, zone: zone-z }';
  const faults = faultsOf((text) => `${text.trimEnd()}\n${fault}\n`);
  expect(faults.map(({ message }) => message)).to.deep.equal(['no zone zone-z']);
});

test('circular or missing scene files are errors', () => {
  const folder = mkdtempSync(join(tmpdir(), 'scenes-'));
  writeFileSync(join(folder, 'a.yaml'), 'extends: b.yaml\n');
  writeFileSync(join(folder, 'b.yaml'), 'extends: a.yaml\n');
  expect(readSceneFile(join(folder, 'a.yaml')).kind).to.equal('faulty');
  expect(readSceneFile(join(folder, 'none.yaml')).kind).to.equal('faulty');
});
