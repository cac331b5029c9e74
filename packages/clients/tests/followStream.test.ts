import { type Either, Left, Right } from 'purify-ts';
import { expect, test } from 'vitest';
import { followStream, type LogFailure, type LogPage } from '@parsleyhall/clients';

const createPage = (from: number, nextOffset: number): Either<LogFailure, LogPage> =>
  Right({ from, earliestOffset: 1, nextOffset, endOffset: 99, records: [] });

test('continues after outages and trimmed records with a limited backoff, until the signal aborts', async () => {
  const outage: Either<LogFailure, LogPage> = Left({ type: 'unavailable', detail: 'test' });
  const responses = [
    createPage(1, 4),
    ...Array.from({ length: 8 }, () => outage),
    Left<LogFailure, LogPage>({ type: 'trimmed', earliestOffset: 20 }),
    createPage(20, 22),
    Left<LogFailure, LogPage>({ type: 'rateLimited', retryAfterMs: 7_000 }),
    createPage(22, 23),
  ];
  const stop = new AbortController();
  const requestedOffsets: number[] = [];
  const nextOffsets: number[] = [];
  const failureTypes: string[] = [];
  const waits: number[] = [];
  await followStream({
    client: {
      read: ({ from }) => {
        requestedOffsets.push(from);
        const response = responses.shift();
        if (response === undefined) {
          stop.abort();
        }
        return Promise.resolve(response ?? Left({ type: 'aborted' }));
      },
    },
    stream: 'configuration',
    from: 1,
    onPage: ({ nextOffset }) => nextOffsets.push(nextOffset),
    onFailure: ({ type }) => failureTypes.push(type),
    signal: stop.signal,
    wait: (waitMs) => {
      waits.push(waitMs);
      return Promise.resolve();
    },
  });
  expect(requestedOffsets).toEqual([1, ...Array.from({ length: 9 }, () => 4), 20, 22, 22, 23]);
  expect(nextOffsets).toEqual([4, 22, 23]);
  expect(failureTypes).toEqual([
    ...Array.from({ length: 8 }, () => 'unavailable'),
    'trimmed',
    'rateLimited',
  ]);
  expect(waits).toEqual([100, 200, 400, 800, 1_600, 2_000, 2_000, 2_000, 7_000]);
});

test('skips records below the offset returned by getFirstNeededOffset', async () => {
  const stop = new AbortController();
  const requestedOffsets: number[] = [];
  await followStream({
    client: {
      read: ({ from }) => {
        requestedOffsets.push(from);
        return Promise.resolve(createPage(from, from + 1));
      },
    },
    stream: 'configuration',
    from: 1,
    onPage: ({ nextOffset }) => {
      if (nextOffset > 40) {
        stop.abort();
      }
    },
    onFailure: () => undefined,
    signal: stop.signal,
    getFirstNeededOffset: () => (requestedOffsets.length < 2 ? 1 : 40),
  });
  expect(requestedOffsets).toEqual([1, 2, 40]);
});
