/**
 * Handshake of the peer link. Before any message is accepted, each side proves with an HMAC over
 * the nonces of both sides that it holds the shared secret.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Version of the messages of the peer link. Connections from another version are refused. */
export const PEER_LINK_VERSION = 1;

/** First frame of each side. */
export interface Hello {
  kind: 'hello';
  version: number;
  boxId: string;
  nonce: string;
}

/** Second frame of each side. */
export interface Proof {
  kind: 'proof';
  mac: string;
}

/**
 * Side of a connection. The proof covers it, so that a box cannot pass the handshake by sending
 * back the proof that it received.
 */
export type Side = 'opener' | 'listener';

const NONCE_BYTES = 16;

/** Returns a hello with a new random nonce. */
export function createHello(boxId: string): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  return { kind: 'hello', version: PEER_LINK_VERSION, boxId, nonce };
}

/** Returns the proof of one side over both hellos. */
export function createProof(params: {
  secret: string;
  side: Side;
  own: Hello;
  other: Hello;
}): Proof {
  const { secret, side, own, other } = params;
  const text = ['reedlug-peer', side, own.boxId, own.nonce, other.boxId, other.nonce].join('|');
  return { kind: 'proof', mac: createHmac('sha256', secret).update(text).digest('hex') };
}

/** Returns true if the proof of the other side is valid. */
export function isProofValid(params: {
  secret: string;
  side: Side;
  own: Hello;
  other: Hello;
  proof: Proof;
}): boolean {
  const { secret, side, own, other, proof } = params;
  const otherSide: Side = side === 'opener' ? 'listener' : 'opener';
  const expected = createProof({ secret, side: otherSide, own: other, other: own });
  const receivedMac = Buffer.from(proof.mac);
  const expectedMac = Buffer.from(expected.mac);
  return receivedMac.length === expectedMac.length && timingSafeEqual(receivedMac, expectedMac);
}

/** Returns true if a value is a hello of this version. */
export function isHello(value: unknown): value is Hello {
  const hello = value as Partial<Hello> | null;
  if (typeof hello !== 'object' || hello === null || hello.kind !== 'hello') return false;
  const hasTextFields = typeof hello.boxId === 'string' && typeof hello.nonce === 'string';
  return hasTextFields && hello.version === PEER_LINK_VERSION;
}

/** Returns true if a value is a proof. */
export function isProof(value: unknown): value is Proof {
  const proof = value as Partial<Proof> | null;
  if (typeof proof !== 'object' || proof === null) return false;
  return proof.kind === 'proof' && typeof proof.mac === 'string';
}
