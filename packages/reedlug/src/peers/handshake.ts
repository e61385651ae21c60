/**
 * Handshake of the peer link: both sides prove that they hold the shared
 * secret, over nonces of both, before any message is taken.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Version of the peer link's messages; boxes of another version are refused. */
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

/** Which side opened the connection; part of the proof, so that one cannot be sent back. */
export type Side = 'opener' | 'listener';

const NONCE_BYTES = 16;

/** Returns a hello with a fresh nonce. */
export function createHello(boxId: string): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  return { kind: 'hello', version: PEER_LINK_VERSION, boxId, nonce };
}

/** The proof of one side over both hellos. */
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

/** True when the other side's proof is right. */
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

/** True for a value that is a hello of this version. */
export function isHello(value: unknown): value is Hello {
  const hello = value as Partial<Hello> | null;
  if (typeof hello !== 'object' || hello === null || hello.kind !== 'hello') return false;
  const hasTextFields = typeof hello.boxId === 'string' && typeof hello.nonce === 'string';
  return hasTextFields && hello.version === PEER_LINK_VERSION;
}

/** True for a value that is a proof. */
export function isProof(value: unknown): value is Proof {
  const proof = value as Partial<Proof> | null;
  if (typeof proof !== 'object' || proof === null) return false;
  return proof.kind === 'proof' && typeof proof.mac === 'string';
}
