import { expect, it } from 'vitest';
import { defaultCallCodec } from '../src/routerProcess/defaultCallCodec.js';

// Guards against ORDER: a target got the caller's Last-Event-Id beside the entry's own and could go on behind either.
it('reserves each header that the entry writes, so that a target gets it once', () => {
  const written = defaultCallCodec
    .writeRequestHeaders({ remainingMs: 1, targetId: 't', team: 'a', lastEventId: '5' })
    .filter((_, index) => index % 2 === 0)
    .map((name) => name.toLowerCase());
  expect(written).toContain('last-event-id');
  expect(written.filter((name) => !defaultCallCodec.reservedHeaders.has(name))).toEqual([]);
});
