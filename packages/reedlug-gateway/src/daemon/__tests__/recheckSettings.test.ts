import { expect } from 'chai';
import { recheckSettings } from '../recheckSettings.js';
import type { LogValue } from '../../observe/logger.js';

test('SIGHUP while the settings file is missing is logged and does not end the box', async () => {
  const lines: Readonly<Record<string, LogValue>>[] = [];
  await recheckSettings('/nonexistent/box.yaml', (_event, fields) => lines.push(fields));
  expect(lines).to.have.length(1);
  expect(lines[0]?.['valid']).to.equal(false);
  expect(String(lines[0]?.['faults'])).to.contain('ENOENT');
});
