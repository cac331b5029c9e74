import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { KeyRecord } from '@parsleyhall/entry';
import type { AppendedRange, LogClient, LogFailure, LogPage } from '@parsleyhall/clients';
import { createKeyAppender } from '../src/keyLog/createKeyAppender.js';

type Step = 'taken' | 'refused' | 'lost' | 'lostAfterEffect';

const FAILURES: Readonly<Record<Exclude<Step, 'taken'>, LogFailure>> = {
  refused: { type: 'rateLimited', retryAfterMs: 0 },
  lost: { type: 'outcomeUnknown', detail: 'lost' },
  lostAfterEffect: { type: 'outcomeUnknown', detail: 'lost' },
};

const createScriptedLog = (steps: readonly Step[]) => {
  const records: unknown[] = [];
  let appends = 0;
  let inFlight = 0;
  let mostInFlight = 0;
  const append = async (batch: readonly unknown[]): Promise<Either<LogFailure, AppendedRange>> => {
    inFlight += 1;
    mostInFlight = Math.max(mostInFlight, inFlight);
    const step = steps[appends] ?? 'taken';
    appends += 1;
    await Promise.resolve();
    if (step === 'taken' || step === 'lostAfterEffect') {
      records.push(...batch);
    }
    inFlight -= 1;
    const range = {
      firstOffset: records.length - batch.length + 1,
      nextOffset: records.length + 1,
    };
    return step === 'taken' ? Right(range) : Left(FAILURES[step]);
  };
  const read = (from: number, limit: number): Promise<Either<LogFailure, LogPage>> => {
    const found = records.slice(from - 1, from - 1 + limit);
    return Promise.resolve(
      Right({
        from,
        earliestOffset: 1,
        nextOffset: from + found.length,
        endOffset: records.length + 1,
        records: found.map((value, place) => ({ offset: from + place, appendedAtMs: 0, value })),
      }),
    );
  };
  const client: LogClient = {
    append: (given) => append(given.records),
    read: (given) => read(given.from, given.limit),
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
  return { client, records, getMostInFlight: () => mostInFlight, getAppends: () => appends };
};

const newStart = (place: number): KeyRecord => ({
  type: 'start',
  key: `key-${place}`,
  attempt: `attempt-${place}`,
  requestFingerprint: 'f',
});

test('every record shows once and in order, whatever answers are lost or refused', async () => {
  const step = fc.constantFrom<Step>('taken', 'refused', 'lost', 'lostAfterEffect');
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 6 }), fc.nat(20), async (steps, count) => {
      const log = createScriptedLog(steps);
      await using appender = createKeyAppender({
        client: log.client,
        partition: 0,
        onFailure: () => undefined,
        onRefused: () => undefined,
      });
      const sent = Array.from({ length: count }, (_, place) => newStart(place));
      sent.forEach(appender.append);
      await appender.flush();
      expect(log.records).toEqual(sent);
      expect(log.getMostInFlight()).toBeLessThanOrEqual(1);
    }),
    { seed: 5, numRuns: 200 },
  );
});

test('what gathers while an append is in flight goes together in the next', async () => {
  const log = createScriptedLog([]);
  await using appender = createKeyAppender({
    client: log.client,
    partition: 0,
    onFailure: () => undefined,
    onRefused: () => undefined,
  });
  Array.from({ length: 100 }, (_, place) => newStart(place)).forEach(appender.append);
  await appender.flush();
  expect(log.records).toHaveLength(100);
  expect(log.getAppends()).toBe(2);
});
