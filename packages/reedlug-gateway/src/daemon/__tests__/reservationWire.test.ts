import { Encoder } from 'cbor-x';
import { expect } from 'chai';
import { peerMessage } from '../../__tests__/__fixtures__/box.js';
import type { PeerMessage, UnitReservationGossip } from '../../types/peer.js';
import { decodeDatagram, encodeDatagram } from '../peerWire.js';

const encoder = new Encoder({ useRecords: false });

function reservation(changes: Partial<UnitReservationGossip> = {}): UnitReservationGossip {
  const times = { ageMs: 900, dueInMs: -20, leftMs: 280 };
  return { workspace: 'tiger', urgency: 3, units: 5000, ...times, ...changes };
}

function decodeRows(reservations: unknown): PeerMessage['reservations'] {
  const bytes = Buffer.from(encoder.encode({ ...peerMessage(), reservations }));
  return (decodeDatagram(bytes) as PeerMessage).reservations;
}

test('reservations are decoded as they were sent, at most 64 of them', () => {
  const sent = Array.from({ length: 70 }, (_, index) => reservation({ units: index + 1 }));
  const bytes = encodeDatagram(peerMessage({ reservations: sent }));
  const decoded = decodeDatagram(bytes) as PeerMessage;
  expect(decoded.reservations).to.deep.equal(sent.slice(0, 64));
});

// Guards against datagrams of faulty or foreign senders that withhold units for long.
test('malformed rows are dropped, and the others are kept', () => {
  const valid = ['tiger', 3, 5000, 900, -20, 280];
  const malformed = [
    ['tiger', 10, 5000, 900, -20, 280],
    ['tiger', 1.5, 5000, 900, -20, 280],
    ['tiger', 3, -1, 900, -20, 280],
    ['tiger', 3, Number.NaN, 900, -20, 280],
    ['tiger', 3, 5000, -1, -20, 280],
    ['tiger', 3, 5000, 900, -20, 31_000],
    [7, 3, 5000, 900, -20, 280],
    ['x'.repeat(300), 3, 5000, 900, -20, 280],
    ['tiger', 3, 5000],
    'tiger',
    null,
  ];
  expect(decodeRows([...malformed, valid])).to.deep.equal([reservation()]);
  for (const rows of ['text', 5, { tiger: 5 }]) expect(decodeRows(rows)).to.equal(undefined);
});

test('a message of an older box has no reservations', () => {
  const decoded = decodeDatagram(encodeDatagram(peerMessage())) as PeerMessage;
  expect(decoded).not.to.have.property('reservations');
});

// Guards against loans that are refused or granted by a precedence that makes no sense.
test('a request for units keeps a valid precedence, and loses a malformed one', () => {
  const base = {
    kind: 'unitsAsked',
    boxId: 'box-2',
    incarnation: 1,
    askId: 1,
    workspace: 'tiger',
    units: 500,
    hops: 0,
    host: '127.0.0.2',
    port: 7000,
  };
  const decode = (fields: object) =>
    decodeDatagram(Buffer.from(encoder.encode({ ...base, ...fields })));
  const stated = { ...base, urgency: 2, heldForMs: 40 };
  expect(decode({ urgency: 2, heldForMs: 40 })).to.deep.equal(stated);
  for (const fields of [
    {},
    { urgency: 2 },
    { urgency: -1, heldForMs: 40 },
    { urgency: 2, heldForMs: 1e9 },
    { urgency: 'x', heldForMs: 40 },
  ]) {
    expect(decode(fields)).to.deep.equal(base);
  }
});
