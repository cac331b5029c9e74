import { expect, test } from 'vitest';
import fc from 'fast-check';
import { EMPTY_KEY_STATE } from './emptyKeyState.js';
import { foldKeyRecord } from './foldKeyRecord.js';
import type { KeyRecord } from './keyRecord.js';

const KEY = '01890a5d-ac96-774b-bcce-b302099a8057';

const attempts = fc.constantFrom('a#1', 'b#1', 'c#1');

const records: fc.Arbitrary<KeyRecord> = fc.oneof(
  attempts.map((attempt) => ({
    type: 'start' as const,
    key: KEY,
    attempt,
    requestFingerprint: 'same',
  })),
  attempts.map((attempt) => ({ type: 'notRun' as const, key: KEY, attempt })),
  attempts.map((attempt) => ({ type: 'unknown' as const, key: KEY, attempt })),
  attempts.map((attempt) => ({
    type: 'done' as const,
    key: KEY,
    attempt,
    status: 200,
    headers: {},
    body: attempt,
  })),
);

test('an attempt that lost or ended never owns the key later, whatever is repeated', () => {
  fc.assert(
    fc.property(fc.array(records, { maxLength: 30 }), (history) => {
      let state = EMPTY_KEY_STATE;
      const over = new Set<string>();
      history.forEach((record, offset) => {
        const before = state.owner?.attempt;
        state = foldKeyRecord(state, offset, record);
        const owner = state.owner?.attempt;
        if (owner !== undefined && owner !== before) {
          expect(over.has(owner)).toBe(false);
        }
        if (record.type === 'start' && owner !== record.attempt) {
          over.add(record.attempt);
        }
        if (record.type === 'notRun' && owner !== record.attempt) {
          over.add(record.attempt);
        }
      });
    }),
    { seed: 11, numRuns: 2_000 },
  );
});

test('a finished run keeps the key and its first answer', () => {
  fc.assert(
    fc.property(fc.array(records, { maxLength: 30 }), (history) => {
      let state = EMPTY_KEY_STATE;
      history.forEach((record, offset) => {
        const done = state.done;
        state = foldKeyRecord(state, offset, record);
        if (done !== undefined) {
          expect(state.done).toBe(done);
          expect(state.owner?.attempt).toBe(done.attempt);
        }
      });
    }),
    { seed: 12, numRuns: 2_000 },
  );
});
