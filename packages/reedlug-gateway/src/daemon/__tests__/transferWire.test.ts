import { expect } from 'chai';
import { configuration } from '../../__tests__/__fixtures__/box.js';
import { encodeWhole } from '../stateTransfer/encodeWhole.js';
import { decodeConfiguration } from '../stateTransfer/transferWire.js';

test('a configuration whose services do not bound their connections is passed on', async () => {
  const whole = configuration();
  const services = whole.services.map((service) => ({ ...service, maxConnections: Infinity }));
  const bytes = await encodeWhole({ ...whole, services });
  expect((await decodeConfiguration(bytes, undefined)).kind).to.equal('configuration');
});
