import { expect } from 'chai';
import { findFreePorts } from '../freePorts.js';

test('free ports lie below the range that the system uses for outgoing connections', async () => {
  const ports = await findFreePorts(20);
  expect(Math.max(...ports)).to.be.lessThan(32_768);
});

test('no free port is returned twice', async () => {
  const ports = [...(await findFreePorts(20)), ...(await findFreePorts(20))];
  expect(new Set(ports).size).to.equal(40);
});
