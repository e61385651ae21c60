import { expect } from 'chai';
import { parseLogLine } from '../explainRequest.js';
import { quoted } from '../logger.js';

test('ids of other writers put no control characters into a line, and are read back', () => {
  const ids = [
    'a\u0000b',
    '\u001b[2J',
    'a\u007f',
    '\u0085x',
    'a\r\nevent=x',
    '"',
    'a=b',
    '\u2028',
    '',
  ];
  for (const id of ids) {
    const text = quoted(id);
    expect(text).to.match(/^[^\p{Cc}\u2028\u2029]*$/u);
    expect(parseLogLine(`time=t event=e server=${text}`)?.fields.get('server')).to.equal(id);
  }
  expect(quoted('engine-7')).to.equal('engine-7');
});
