import type { ServerResponse } from 'node:http';
import { describe, expect, test } from 'vitest';
import { createHostListClient, createLogClient, type LogClient } from '@parsleyhall/clients';
import { startTestServer } from './startTestServer.js';

type Responder = (response: ServerResponse) => void;

const respondWithJson =
  (status: number, body: unknown, headers: Record<string, string> = {}): Responder =>
  (response) => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  };

const dropConnection: Responder = (response) => {
  response.destroy();
};

const withLogClient = async <Result>(
  respond: Responder,
  use: (log: LogClient) => Promise<Result>,
): Promise<{ readonly result: Result; readonly urls: readonly string[] }> => {
  const urls: string[] = [];
  await using server = await startTestServer((request, response) => {
    urls.push(`${request.method ?? ''} ${request.url ?? ''}`);
    request.resume().once('end', () => {
      respond(response);
    });
  });
  await using log = createLogClient({ address: server.address });
  return { result: await use(log), urls };
};

const append = async (log: LogClient): Promise<unknown> =>
  (await log.append({ stream: 'keys-0', records: [{ a: 1 }] })).extract();

const read = async (log: LogClient): Promise<unknown> =>
  (await log.read({ stream: 'keys-0', from: 3, limit: 2, waitMs: 0 })).extract();

describe('append', () => {
  test.each<readonly [string, Responder, object]>([
    ['a success', respondWithJson(200, { firstOffset: 4, nextOffset: 5 }), { firstOffset: 4 }],
    ['an outage', respondWithJson(503, {}), { type: 'unavailable' }],
    [
      'a rate limit',
      respondWithJson(429, {}, { 'retry-after': '2' }),
      { type: 'rateLimited', retryAfterMs: 2_000 },
    ],
    ['a dropped connection', dropConnection, { type: 'outcomeUnknown' }],
    [
      'a response that cannot be parsed',
      respondWithJson(200, 'invalid'),
      { type: 'outcomeUnknown' },
    ],
    ['an internal error of the service', respondWithJson(500, {}), { type: 'outcomeUnknown' }],
    ['a rejection of the request', respondWithJson(400, {}), { type: 'malformed' }],
  ])('returns the matching result for %s and does not retry', async (_name, respond, expected) => {
    const { result, urls } = await withLogClient(respond, append);
    expect(result).toMatchObject(expected);
    expect(urls).toEqual(['POST /v1/streams/keys-0/records']);
  });

  test('reports the log as unavailable if nothing listens on the port', async () => {
    const server = await startTestServer(() => undefined);
    await server[Symbol.asyncDispose]();
    await using log = createLogClient({ address: server.address });
    expect(await append(log)).toMatchObject({ type: 'unavailable' });
  });
});

describe('read', () => {
  const page = {
    earliestOffset: 1,
    nextOffset: 4,
    endOffset: 9,
    records: [{ offset: 3, appendedAtMs: 7, value: { a: 1 } }],
  };

  test.each<readonly [string, Responder, object]>([
    ['a page', respondWithJson(200, page), { ...page, from: 3 }],
    [
      'trimmed records',
      respondWithJson(410, { earliestOffset: 8 }),
      { type: 'trimmed', earliestOffset: 8 },
    ],
    ['an outage', respondWithJson(503, {}), { type: 'unavailable' }],
    ['a dropped connection', dropConnection, { type: 'unavailable' }],
    [
      'a response that violates the protocol',
      respondWithJson(200, { records: 3 }),
      { type: 'malformed' },
    ],
  ])('returns the matching result for %s', async (_name, respond, expected) => {
    const { result, urls } = await withLogClient(respond, read);
    expect(result).toMatchObject(expected);
    expect(urls).toEqual(['GET /v1/streams/keys-0/records?from=3&limit=2&waitMs=0']);
  });

  test('returns aborted if the signal aborts while it waits', async () => {
    const stop = new AbortController();
    const { result } = await withLogClient(
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

test('the host list client parses a valid list and rejects an invalid one', async () => {
  const host = {
    host: 'maadi-1',
    dataCentre: 'maadi',
    role: 'target',
    process: 'side-1',
    address: '127.0.0.1:1',
    state: 'live',
  };
  const bodies = [{ asOfMs: 5, hosts: [host] }, { hosts: [{ ...host, role: 'invalid' }] }];
  await using server = await startTestServer((_request, response) => {
    respondWithJson(200, bodies.shift())(response);
  });
  await using hostList = createHostListClient({ address: server.address });
  expect((await hostList.list()).extract()).toEqual({ asOfMs: 5, hosts: [host] });
  expect((await hostList.list()).extract()).toMatchObject({ type: 'malformed' });
});
