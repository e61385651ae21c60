import { expect } from 'chai';
import { createServingBox, ofType, server } from '../../../__tests__/__fixtures__/box.js';
import type { ServerEntry } from '../../../types/server.js';

type TestBox = ReturnType<typeof createServingBox>;

/** Reads an entry as the store or another box passes it on; returns the names of the lines that are logged. */
function read(box: TestBox, entry: ServerEntry, source: 'store' | 'peer', revision = 9): string[] {
  const changes = [{ id: entry.id, entry }];
  const effects = box.take({ type: 'serversRead', whole: false, changes, revision, source });
  return ofType(effects, 'log').map(({ event }) => event);
}

for (const source of ['store', 'peer'] as const) {
  test(`an entry whose id no header can hold names no server: ${source}`, () => {
    for (const id of ['a\r\nX: y', 'a\u0000b', '\u007f', '名前', '\ud800']) {
      const box = createServingBox();
      expect(read(box, server(id), source)).to.include('serverEntryUnreadable');
      expect(box.state.servers.has(id)).to.equal(false);
    }
  });
}
