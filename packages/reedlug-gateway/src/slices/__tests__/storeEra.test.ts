import { expect } from 'chai';
import { createBox, ofType } from '../../__tests__/__fixtures__/box.js';

test('a box tells once in its log that the store came back, with both eras', () => {
  const box = createBox();
  const linesOf = (era: number) => ofType(box.take({ type: 'storeEra', era }), 'log');
  expect(linesOf(3).map(({ event }) => event)).to.deep.equal(['storeEraFirst']);
  expect(linesOf(3)).to.deep.equal([]);
  const [line] = linesOf(5);
  expect(line?.event).to.equal('storeCameBack');
  expect(line?.fields).to.include({ before: 3, era: 5 });
  expect(linesOf(4)).to.deep.equal([]);
  expect(box.state.storeEra).to.equal(5);
});
