// Stands for undici's HTTP/2 client, which loads Node's http2, TLS and cryptography: a box speaks HTTP/1.1.
module.exports = function connectH2() {
  throw new Error('HTTP/2 is not part of a box; offer HTTP/1.1 on this address');
};
