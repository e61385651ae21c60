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

test('a start time that is too large does not hide the later entries of the server', () => {
  const startedAtMs = 1_780_000_000_000;
  for (const bornAtMs of [Number.MAX_SAFE_INTEGER, startedAtMs * 1000, -1, 0.5]) {
    const box = createServingBox();
    read(box, server('records-9', { bornAtMs, zone: 'odd' }), 'store');
    read(box, server('records-9', { bornAtMs: startedAtMs }), 'store', 10);
    expect(box.state.servers.get('records-9')?.entry).to.include({
      zone: 'zone-a',
      bornAtMs: startedAtMs,
    });
  }
});
