import { type Either, Left, Right } from 'purify-ts';
import { expect, test } from 'vitest';
import { followStream, type LogFailure, type LogPage } from '@parsleyhall/clients';

const newPage = (from: number, nextOffset: number): Either<LogFailure, LogPage> =>
  Right({ from, earliestOffset: 1, nextOffset, endOffset: 99, records: [] });

test('a follower goes on past outages and trimmed records, backs off with a cap and ends by its signal', async () => {
  const outage: Either<LogFailure, LogPage> = Left({ type: 'unavailable', detail: 'test' });
  const answers = [
    newPage(1, 4),
    ...Array.from({ length: 8 }, () => outage),
    Left<LogFailure, LogPage>({ type: 'trimmed', earliestOffset: 20 }),
    newPage(20, 22),
    Left<LogFailure, LogPage>({ type: 'rateLimited', retryAfterMs: 7_000 }),
    newPage(22, 23),
  ];
  const stop = new AbortController();
  const asked: number[] = [];
  const pages: number[] = [];
  const failures: string[] = [];
  const waits: number[] = [];
  await followStream({
    client: {
      read: ({ from }) => {
        asked.push(from);
        const answer = answers.shift();
        if (answer === undefined) {
          stop.abort();
        }
        return Promise.resolve(answer ?? Left({ type: 'aborted' }));
      },
    },
    stream: 'configuration',
    from: 1,
    onPage: ({ nextOffset }) => pages.push(nextOffset),
    onFailure: ({ type }) => failures.push(type),
    signal: stop.signal,
    wait: (waitMs) => {
      waits.push(waitMs);
      return Promise.resolve();
    },
  });
  expect(asked).toEqual([1, ...Array.from({ length: 9 }, () => 4), 20, 22, 22, 23]);
  expect(pages).toEqual([4, 22, 23]);
  expect(failures).toEqual([
    ...Array.from({ length: 8 }, () => 'unavailable'),
    'trimmed',
    'rateLimited',
  ]);
  expect(waits).toEqual([100, 200, 400, 800, 1_600, 2_000, 2_000, 2_000, 7_000]);
});

test('a follower skips what its reader no longer wants', async () => {
  const stop = new AbortController();
  const asked: number[] = [];
  await followStream({
    client: {
      read: ({ from }) => {
        asked.push(from);
        return Promise.resolve(newPage(from, from + 1));
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
    getWantedFrom: () => (asked.length < 2 ? 1 : 40),
  });
  expect(asked).toEqual([1, 2, 40]);
});
