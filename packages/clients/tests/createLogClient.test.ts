import type { ServerResponse } from 'node:http';
import { describe, expect, test } from 'vitest';
import { createHostListClient, createLogClient, type LogClient } from '@parsleyhall/clients';
import { startTestServer } from './startTestServer.js';

type Answer = (response: ServerResponse) => void;

const answerJson =
  (status: number, body: unknown, headers: Record<string, string> = {}): Answer =>
  (response) => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  };

const dropConnection: Answer = (response) => {
  response.destroy();
};

const withLog = async <Result>(
  answer: Answer,
  use: (log: LogClient) => Promise<Result>,
): Promise<{ readonly result: Result; readonly urls: readonly string[] }> => {
  const urls: string[] = [];
  await using server = await startTestServer((request, response) => {
    urls.push(`${request.method ?? ''} ${request.url ?? ''}`);
    request.resume().once('end', () => {
      answer(response);
    });
  });
  await using log = createLogClient({ address: server.address });
  return { result: await use(log), urls };
};

const append = async (log: LogClient): Promise<unknown> =>
  (await log.append({ stream: 'keys-0', records: [{ a: 1 }] })).extract();

const read = async (log: LogClient): Promise<unknown> =>
  (await log.read({ stream: 'keys-0', from: 3, limit: 2, waitMs: 0 })).extract();

describe('an append', () => {
  test.each<readonly [string, Answer, object]>([
    ['an answer', answerJson(200, { firstOffset: 4, nextOffset: 5 }), { firstOffset: 4 }],
    ['an outage', answerJson(503, {}), { type: 'unavailable' }],
    [
      'a rate limit',
      answerJson(429, {}, { 'retry-after': '2' }),
      { type: 'rateLimited', retryAfterMs: 2_000 },
    ],
    ['a dropped connection', dropConnection, { type: 'outcomeUnknown' }],
    ['an answer that cannot be read', answerJson(200, 'odd'), { type: 'outcomeUnknown' }],
    ['a fault of the service', answerJson(500, {}), { type: 'outcomeUnknown' }],
    ['a refusal', answerJson(400, {}), { type: 'malformed' }],
  ])('that meets %s is told apart, and is made once', async (_name, answer, expected) => {
    const { result, urls } = await withLog(answer, append);
    expect(result).toMatchObject(expected);
    expect(urls).toEqual(['POST /v1/streams/keys-0/records']);
  });

  test('to a port where nothing listens took no effect', async () => {
    const server = await startTestServer(() => undefined);
    await server[Symbol.asyncDispose]();
    await using log = createLogClient({ address: server.address });
    expect(await append(log)).toMatchObject({ type: 'unavailable' });
  });
});

describe('a read', () => {
  const page = {
    earliestOffset: 1,
    nextOffset: 4,
    endOffset: 9,
    records: [{ offset: 3, appendedAtMs: 7, value: { a: 1 } }],
  };

  test.each<readonly [string, Answer, object]>([
    ['a page', answerJson(200, page), { ...page, from: 3 }],
    [
      'trimmed records',
      answerJson(410, { earliestOffset: 8 }),
      { type: 'trimmed', earliestOffset: 8 },
    ],
    ['an outage', answerJson(503, {}), { type: 'unavailable' }],
    ['a dropped connection', dropConnection, { type: 'unavailable' }],
    ['an answer outside the protocol', answerJson(200, { records: 3 }), { type: 'malformed' }],
  ])('that meets %s is told apart', async (_name, answer, expected) => {
    const { result, urls } = await withLog(answer, read);
    expect(result).toMatchObject(expected);
    expect(urls).toEqual(['GET /v1/streams/keys-0/records?from=3&limit=2&waitMs=0']);
  });

  test('that is aborted while it waits says so', async () => {
    const stop = new AbortController();
    const { result } = await withLog(
      () => {
        stop.abort();
      },
      async (log) =>
        (
          await log.read({ stream: 's', from: 1, limit: 1, waitMs: 5_000, signal: stop.signal })
        ).extract(),
    );
    expect(result).toEqual({ type: 'aborted' });
  });
});

test('the list of hosts is read, and an odd one refused', async () => {
  const host = {
    host: 'maadi-1',
    dataCentre: 'maadi',
    role: 'target',
    process: 'side-1',
    address: '127.0.0.1:1',
    state: 'live',
  };
  const answers = [{ asOfMs: 5, hosts: [host] }, { hosts: [{ ...host, role: 'odd' }] }];
  await using server = await startTestServer((_request, response) => {
    answerJson(200, answers.shift())(response);
  });
  await using hostList = createHostListClient({ address: server.address });
  expect((await hostList.list()).extract()).toEqual({ asOfMs: 5, hosts: [host] });
  expect((await hostList.list()).extract()).toMatchObject({ type: 'malformed' });
});
