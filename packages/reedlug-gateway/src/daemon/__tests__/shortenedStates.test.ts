import { promisify } from 'node:util';
import { gzip } from 'node:zlib';
import { expect } from 'chai';
import { configuration, server } from '../../__tests__/__fixtures__/box.js';
import type { SharedState } from '../../slices/peers/sharedState.js';
import { encoder } from '../peerWire.js';
import { encodeWhole } from '../stateTransfer/encodeWhole.js';
import {
  decodeConfiguration,
  decodeSharedState,
  decompress,
} from '../stateTransfer/transferWire.js';

const STATE: SharedState = {
  configuration: undefined,
  servers: ['i-1', 'i-2', 'i-3'].map((id) => ({ id, entry: server(id) })),
  serversRevision: 7,
  serversReadTo: 9,
  boxId: 'box-2',
  registryNumber: 3,
};

test('a registry that ends early, as with the connection of a box that is killed, is malformed', () => {
  const whole = encoder.encode(STATE);
  expect(decodeSharedState(whole)).to.be.an('object');
  for (let length = 0; length < whole.length; length += 1) {
    expect(decodeSharedState(whole.subarray(0, length)), `${length} bytes`).to.be.a('string');
  }
});

test('a configuration that ends early is malformed', async () => {
  const whole = await encodeWhole(configuration());
  expect((await decodeConfiguration(whole, undefined)).kind).to.equal('configuration');
  for (let length = 0; length < whole.length; length += 1) {
    const decoded = await decodeConfiguration(whole.subarray(0, length), undefined);
    expect(decoded.kind, `${length} bytes`).to.equal('malformed');
  }
});

test('a compressed state that ends early is not decompressed', async () => {
  const whole = await promisify(gzip)(encoder.encode(STATE));
  for (let length = 1; length < whole.length; length += 1) {
    const outcome = await decompress(whole.subarray(0, length), 'gzip').catch(() => 'malformed');
    expect(outcome, `${length} bytes`).to.equal('malformed');
  }
});
