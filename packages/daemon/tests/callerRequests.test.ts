import { once } from 'node:events';
import { request as sendRequest } from 'node:http';
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import type { EntryEffect, EntryEvent } from '@parsleyhall/entry';
import type { RunningProcess } from '../src/process/runningProcess.js';
import { sendCall } from './support/sendCall.js';
import { exchangeRaw } from './support/exchangeRaw.js';
import { startScriptedEntry } from './support/startScriptedEntry.js';
import { startTestPlatform } from './support/startTestPlatform.js';
import type { TestPlatform } from './support/testPlatform.js';

const MAXIMUM_BODY_BYTES = 20_000;
const CHAT = '/v1/chat/completions';
const VALID_BODY = { model: 'small', messages: [{ role: 'user', content: 'hello' }] };
const BIG_BYTES = 600_000;

type ArrivedRequest = Extract<EntryEvent, { readonly type: 'requestArrived' }>['request'];
type Script = (request: ArrivedRequest) => readonly EntryEffect[];

const respondShed: Script = ({ requestId }) => [
  {
    type: 'answerFailure',
    requestId,
    failure: { type: 'notRun', reason: 'shed', retryAfterMs: 1_200 },
  },
];

let platform: TestPlatform;
let entry: RunningProcess;
let url = '';
let script: Script = respondShed;
let onEvent: (event: EntryEvent) => void = () => undefined;

const awaitEvent = (type: EntryEvent['type']): Promise<EntryEvent> =>
  new Promise((resolve) => {
    onEvent = (event) => {
      if (event.type === type) {
        resolve(event);
      }
    };
  });

const runScript = (event: EntryEvent): readonly EntryEffect[] | undefined => {
  onEvent(event);
  if (event.type === 'requestArrived') {
    return script(event.request);
  }
  return event.type === 'callerHungUp' ? [] : undefined;
};

beforeAll(async () => {
  platform = await startTestPlatform();
  const settings = {
    ...platform.createSettings('entry-1'),
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    slowSenderTimeoutMs: 400,
    slowReaderBufferBytes: 100_000,
  };
  const folded = awaitEvent('configurationFolded');
  entry = await startScriptedEntry(settings, runScript);
  url = `http://${entry.listeners.callers ?? ''}`;
  await folded;
});

afterAll(async () => {
  await entry[Symbol.asyncDispose]();
  await platform[Symbol.asyncDispose]();
});

const send = async (path: string, init: RequestInit) => {
  const answer = await fetch(url + path, { method: 'POST', ...init });
  return { status: answer.status, headers: answer.headers, text: await answer.text() };
};

const validBodyText = JSON.stringify(VALID_BODY);
const team = { 'x-team': 'branches' };

describe('requests of callers', () => {
  test.each([
    ['a request without a team', CHAT, {}, validBodyText, 403, 'invalid:unknown-team'],
    [
      'an unknown team',
      CHAT,
      { 'x-team': 'strangers' },
      validBodyText,
      403,
      'invalid:unknown-team',
    ],
    [
      'the name of a team that requires a token',
      CHAT,
      { 'x-team': 'sealed' },
      validBodyText,
      403,
      'invalid:unknown-team',
    ],
    [
      'a wrong token',
      CHAT,
      { authorization: 'Bearer wrong' },
      validBodyText,
      403,
      'invalid:unknown-team',
    ],
    [
      'the token of another team',
      CHAT,
      { authorization: 'Bearer secret', ...team },
      validBodyText,
      403,
      'invalid:unknown-team',
    ],
    ['a valid token', CHAT, { authorization: 'Bearer secret' }, validBodyText, 503, 'not-run:shed'],
    [
      'a tier out of range',
      CHAT,
      { ...team, 'x-tier': '5' },
      validBodyText,
      400,
      'invalid:malformed-header',
    ],
    [
      'an invalid deadline',
      CHAT,
      { ...team, 'x-deadline-ms': '-1' },
      validBodyText,
      400,
      'invalid:malformed-header',
    ],
    ['a body that is not JSON', CHAT, team, '{', 400, 'invalid:malformed-json'],
    ['a body without a model', CHAT, team, '{}', 400, 'invalid:malformed-body'],
    [
      'an unknown model',
      CHAT,
      team,
      validBodyText.replace('small', 'huge'),
      404,
      'invalid:unknown-model',
    ],
    ['an unknown pool', '/services/none/x', team, '', 404, 'invalid:unknown-pool'],
    ['an unknown path', '/v2/chat', team, '', 404, 'invalid:unknown-path'],
    ['a malformed escape', '/services/portal/%zz', team, '', 400, 'invalid:malformed-path'],
    [
      'a non-idempotent call without a key',
      '/services/portal/domains/1',
      team,
      '',
      400,
      'invalid:missing-idempotency-key',
    ],
    [
      'a non-idempotent call without a key whose path is encoded',
      '/services/portal//x/%2e%2e/%64omains',
      team,
      '',
      400,
      'invalid:missing-idempotency-key',
    ],
    [
      'a body over the size limit',
      CHAT,
      team,
      ' '.repeat(MAXIMUM_BODY_BYTES + 1),
      413,
      'invalid:body-too-large',
    ],
    ['a shed call', CHAT, team, validBodyText, 503, 'not-run:shed'],
  ])('%s', async (_, path, headers, body, status, urn) => {
    const answer = await send(path, { headers, body });
    expect(answer.status).toBe(status);
    expect(answer.headers.get('content-type')).toBe('application/problem+json');
    const problem = JSON.parse(answer.text) as Record<string, unknown>;
    expect(problem).toMatchObject({ type: `urn:parsleyhall:problem:${urn}`, status });
    expect(answer.headers.get('retry-after')).toBe(status === 503 ? '2' : null);
  });

  test('a chunked body over the size limit is rejected', async () => {
    const chunk = `1000\r\n${' '.repeat(0x1000)}\r\n`;
    const head = `POST ${CHAT} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n`;
    const answer = await exchangeRaw(url.slice(7), `${head}${chunk.repeat(8)}0\r\n\r\n`);
    expect(answer).toMatch(/^HTTP\/1.1 413 /);
  });

  test.each([
    ['input that is not HTTP', 'nonsense\r\n\r\n', 400, 'malformed-request'],
    [
      'headers over the size limit',
      `GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      431,
      'headers-too-large',
    ],
    [
      'an incomplete body',
      `POST ${CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{`,
      408,
      'request-too-slow',
    ],
  ])('%s gets a response and the connection is closed', async (_, text, status, urn) => {
    const answer = await exchangeRaw(url.slice(7), text);
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(answer).toContain(`urn:parsleyhall:problem:invalid:${urn}`);
  });

  test('arbitrary input gets a response and the entry continues to serve', async () => {
    const headerValue = fc
      .string({ maxLength: 12 })
      .map((text) => text.replace(/[^\x21-\x7e]/g, '~'));
    const headers = fc.record(
      {
        'x-team': headerValue,
        'x-tier': headerValue,
        'x-deadline-ms': headerValue,
        'x-kind': headerValue,
      },
      { requiredKeys: [] },
    );
    const path = fc.constantFrom(CHAT, '/v1/completions', '/services/portal/x', '/services/', '/');
    const body = fc.oneof(
      fc.uint8Array({ maxLength: 40 }),
      fc.json().map((text) => new TextEncoder().encode(text)),
    );
    await fc.assert(
      fc.asyncProperty(path, headers, body, async (requestPath, randomHeaders, bytes) => {
        const requestHeaders = { ...team, ...randomHeaders } as Record<string, string>;
        const answer = await send(requestPath, {
          headers: requestHeaders,
          body: Buffer.from(bytes),
        });
        expect([400, 403, 404, 503]).toContain(answer.status);
      }),
      { seed: 11, numRuns: 200 },
    );
    expect(await sendCall({ url, path: CHAT, body: VALID_BODY })).toMatchObject({ status: 503 });
  });

  test('a disconnect of a caller is reported to the reducer', async () => {
    script = () => [];
    const arrived = awaitEvent('requestArrived');
    const call = sendRequest(url + CHAT, { method: 'POST', headers: team });
    call.on('error', () => undefined);
    call.end(validBodyText);
    const event = await arrived;
    const disconnected = awaitEvent('callerHungUp');
    call.destroy();
    const { requestId } = (event as Extract<EntryEvent, { readonly type: 'requestArrived' }>)
      .request;
    expect(await disconnected).toMatchObject({ requestId });
  });

  test('a caller that reads too slowly for the buffer limit is disconnected', async () => {
    script = ({ requestId }) => [
      { type: 'answerHead', requestId, status: 200, headers: {} },
      ...Array.from({ length: 60 }, () => ({
        type: 'answerBytes' as const,
        requestId,
        bytes: new Uint8Array(BIG_BYTES),
      })),
    ];
    const disconnected = awaitEvent('callerHungUp');
    const call = sendRequest(url + CHAT, { method: 'POST', headers: team });
    call.on('error', () => undefined);
    call.end(validBodyText);
    await disconnected;
    call.destroy();
  });

  test('a failure after the headers aborts the response, so that no caller takes a partial response for a complete one', async () => {
    script = ({ requestId }) => [
      { type: 'answerHead', requestId, status: 200, headers: {} },
      { type: 'answerBytes', requestId, bytes: new TextEncoder().encode('part') },
      {
        type: 'answerFailure',
        requestId,
        failure: { type: 'outcomeUnknown', retryAfterMs: 0 },
      },
    ];
    await expect(sendCall({ url, path: CHAT, body: VALID_BODY })).rejects.toThrow();
  });

  test('an entry without a configuration is not ready', async () => {
    await using unconfigured = await startScriptedEntry(
      { ...platform.createSettings('entry-2'), log: { address: '127.0.0.1:1' } },
      () => undefined,
    );
    const address = `http://${unconfigured.listeners.callers ?? ''}`;
    expect((await fetch(`${address}/healthz`)).status).toBe(200);
    expect((await fetch(`${address}/readyz`)).status).toBe(503);
    const answer = await sendCall({ url: address, path: CHAT, body: VALID_BODY });
    expect(answer.text).toContain('urn:parsleyhall:problem:not-run:no-configuration');
    expect((await fetch(`${url}/readyz`)).status).toBe(200);
  });

  test('a connection that is not read does not keep the entry from stopping', async () => {
    await using stoppedEntry = await startScriptedEntry(
      platform.createSettings('entry-3'),
      () => undefined,
    );
    const call = sendRequest(`http://${stoppedEntry.listeners.callers ?? ''}/healthz`);
    call.end();
    await once(call, 'response');
    stoppedEntry.requestStop();
    await stoppedEntry.whenStopped;
  });
});
