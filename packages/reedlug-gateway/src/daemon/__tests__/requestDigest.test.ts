import { expect } from 'chai';
import { digestOf } from '../requestDigest.js';

function digest(params: { method?: string; host?: string; path?: string; body?: string } = {}) {
  const { method = 'POST', host = 'a.example', path = '/draft/1', body = 'text' } = params;
  return digestOf({ head: { method, path, rawHeaders: [] }, body: Buffer.from(body) }, host);
}

test('a digest depends on method, host, path and body only', () => {
  const changed = [
    digest(),
    digest({ method: 'PUT' }),
    digest({ host: 'b.example' }),
    digest({ path: '/draft/2' }),
    digest({ body: 'other' }),
    digest({ host: 'a.example/', path: 'draft/1' }),
  ];
  expect(new Set(changed).size).to.equal(changed.length);
  expect(digest()).to.equal(digest()).and.to.have.lengthOf(16);
});
