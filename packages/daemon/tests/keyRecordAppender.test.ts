import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { KeyRecord } from '@parsleyhall/entry';
import type { AppendedRange, LogClient, LogFailure, LogPage } from '@parsleyhall/clients';
import { createKeyRecordAppender } from '../src/idempotencyKeys/createKeyRecordAppender.js';

type AppendResult = 'stored' | 'refused' | 'lostBeforeStore' | 'lostAfterStore';

const FAILURES: Readonly<Record<Exclude<AppendResult, 'stored'>, LogFailure>> = {
  refused: { type: 'rateLimited', retryAfterMs: 0 },
  lostBeforeStore: { type: 'outcomeUnknown', detail: 'lost' },
  lostAfterStore: { type: 'outcomeUnknown', detail: 'lost' },
};

const createScriptedLog = (results: readonly AppendResult[]) => {
  const records: unknown[] = [];
  let appends = 0;
  let inFlight = 0;
  let maxInFlight = 0;
  const append = async (batch: readonly unknown[]): Promise<Either<LogFailure, AppendedRange>> => {
    inFlight += 1;
    maxInFlight = Math.max(maxInFlight, inFlight);
    const result = results[appends] ?? 'stored';
    appends += 1;
    await Promise.resolve();
    if (result === 'stored' || result === 'lostAfterStore') {
      records.push(...batch);
    }
    inFlight -= 1;
    const range = {
      firstOffset: records.length - batch.length + 1,
      nextOffset: records.length + 1,
    };
    return result === 'stored' ? Right(range) : Left(FAILURES[result]);
  };
  const read = (from: number, limit: number): Promise<Either<LogFailure, LogPage>> => {
    const found = records.slice(from - 1, from - 1 + limit);
    return Promise.resolve(
      Right({
        from,
        earliestOffset: 1,
        nextOffset: from + found.length,
        endOffset: records.length + 1,
        records: found.map((value, index) => ({ offset: from + index, appendedAtMs: 0, value })),
      }),
    );
  };
  const client: LogClient = {
    append: (request) => append(request.records),
    read: (request) => read(request.from, request.limit),
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
  return { client, records, getMaxInFlight: () => maxInFlight, getAppends: () => appends };
};

const createStartRecord = (index: number): KeyRecord => ({
  type: 'start',
  key: `key-${index}`,
  attempt: `attempt-${index}`,
  requestFingerprint: 'f',
});

test('every record is stored once and in order, even when appends are refused or their responses are lost', async () => {
  const result = fc.constantFrom<AppendResult>(
    'stored',
    'refused',
    'lostBeforeStore',
    'lostAfterStore',
  );
  await fc.assert(
    fc.asyncProperty(fc.array(result, { maxLength: 6 }), fc.nat(20), async (results, count) => {
      const log = createScriptedLog(results);
      await using appender = createKeyRecordAppender({
        client: log.client,
        partition: 0,
        onFailure: () => undefined,
        onRefused: () => undefined,
      });
      const sent = Array.from({ length: count }, (_, index) => createStartRecord(index));
      sent.forEach(appender.append);
      await appender.flush();
      expect(log.records).toEqual(sent);
      expect(log.getMaxInFlight()).toBeLessThanOrEqual(1);
    }),
    { seed: 5, numRuns: 200 },
  );
});

test('records added while an append is in flight are appended together next', async () => {
  const log = createScriptedLog([]);
  await using appender = createKeyRecordAppender({
    client: log.client,
    partition: 0,
    onFailure: () => undefined,
    onRefused: () => undefined,
  });
  Array.from({ length: 100 }, (_, index) => createStartRecord(index)).forEach(appender.append);
  await appender.flush();
  expect(log.records).toHaveLength(100);
  expect(log.getAppends()).toBe(2);
});
