// The parts of cbor-x that a box uses, without its look for a native addon.
export { Decoder } from 'cbor-x/decode';
export { Encoder } from 'cbor-x/encode';
