import { expect, test } from 'vitest';
import {
  getExpectedAnswer,
  getExpectedServiceAnswer,
  startEngineStandIn,
  startListStandIn,
  startLogStandIn,
  startRelay,
  startServiceStandIn,
} from '@parsleyhall/stand-ins';

const sendRequest = async (
  address: string,
  path: string,
  init: RequestInit = {},
): Promise<{ readonly status: number; readonly text: string }> => {
  const response = await fetch(`http://${address}${path}`, init);
  return { status: response.status, text: await response.text() };
};

const createPostInit = (
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): RequestInit => ({
  method: 'POST',
  body: JSON.stringify(body),
  headers,
});

const createPutInit = (body: unknown): RequestInit => ({
  method: 'PUT',
  body: JSON.stringify(body),
});

const parseJson = (text: string): unknown => JSON.parse(text) as unknown;

test('the log keeps the order of records, loses responses after the append, trims and simulates outages', async () => {
  await using log = await startLogStandIn();
  const path = '/v1/streams/keys-0/records';
  const first = await sendRequest(log.address, path, createPostInit({ records: ['a', 'b'] }));
  expect(parseJson(first.text)).toEqual({ firstOffset: 1, nextOffset: 3 });

  const polled = sendRequest(log.address, `${path}?from=3&waitMs=60000`);
  await sendRequest(log.address, '/control', createPutInit({ loseAnswers: 1 }));
  await expect(
    sendRequest(log.address, path, createPostInit({ records: ['c'] })),
  ).rejects.toThrow();
  expect(parseJson((await polled).text)).toMatchObject({
    nextOffset: 4,
    endOffset: 4,
    records: [{ offset: 3, value: 'c' }],
  });

  await sendRequest(log.address, '/control/trim', createPostInit({ stream: 'keys-0', before: 3 }));
  const trimmed = await sendRequest(log.address, `${path}?from=1`);
  expect(trimmed.status).toBe(410);
  expect(parseJson(trimmed.text)).toEqual({ earliestOffset: 3 });

  await sendRequest(log.address, '/control', createPutInit({ outage: true }));
  expect((await sendRequest(log.address, path, createPostInit({ records: ['d'] }))).status).toBe(
    503,
  );
  expect((await sendRequest(log.address, `${path}?from=3`)).status).toBe(503);
});

test('the list serves a process only once its record is older than the lag', async () => {
  await using list = await startListStandIn();
  const record = {
    host: 'h1',
    dataCentre: 'maadi',
    role: 'target',
    process: 's1',
    address: '127.0.0.1:1',
    state: 'live',
  };
  await sendRequest(list.address, '/control/hosts/s1', createPutInit(record));
  const shown = await sendRequest(list.address, '/v1/hosts');
  expect(parseJson(shown.text)).toMatchObject({ hosts: [record] });
  await sendRequest(list.address, '/control', createPutInit({ lagMs: 600_000 }));
  expect(parseJson((await sendRequest(list.address, '/v1/hosts')).text)).toMatchObject({
    hosts: [],
  });
});

const MODEL = 'small';
const PROMPT = 'audit this bundle. '.repeat(60);
const PROMPT_TOKENS = PROMPT.length / 4;

const createChatBody = (stream: boolean, answerTokens: number): unknown => ({
  model: MODEL,
  stream,
  messages: [{ role: 'user', content: PROMPT }],
  metadata: { answer_tokens: String(answerTokens) },
});

const getExpectedChatResponse = (
  requestId: string,
  isStreaming: boolean,
  cachedTokens: number,
): string =>
  getExpectedAnswer({
    requestId,
    endpoint: 'chat',
    model: MODEL,
    prompt: PROMPT,
    answerTokens: 12,
    isStreaming,
    cachedTokens,
  });

test('the engine returns the exact body, skips the prefill of a cached prefix and resumes from any byte', async () => {
  await using engine = await startEngineStandIn({ timeScale: 4 });
  const path = '/v1/chat/completions';
  const streamed = await sendRequest(
    engine.address,
    path,
    createPostInit(createChatBody(true, 12), { 'x-request-id': 'r1' }),
  );
  expect(streamed.text).toBe(getExpectedChatResponse('r1', true, 0));

  const cachedTokens = Math.floor(PROMPT.length / 256) * 64;
  const cached = await sendRequest(
    engine.address,
    path,
    createPostInit(createChatBody(false, 12), { 'x-request-id': 'r2' }),
  );
  expect(cached.text).toBe(getExpectedChatResponse('r2', false, cachedTokens));

  const rest = await sendRequest(engine.address, '/v1/requests/r1/stream?from=100');
  expect(rest.text).toBe(streamed.text.slice(100));
  expect((await sendRequest(engine.address, '/v1/requests/none/stream?from=0')).status).toBe(404);

  const stats = await sendRequest(engine.address, '/control/stats');
  expect(parseJson(stats.text)).toMatchObject({
    runsByRequest: { r1: 1, r2: 1 },
    prefillTokensSpared: cachedTokens,
    prefillTokensComputed: 2 * PROMPT_TOKENS - cachedTokens,
    decodeTokens: 24,
  });
});

test('a dropped connection does not stop a run, but a cancellation does', async () => {
  await using engine = await startEngineStandIn({ timeScale: 4 });
  await using relay = await startRelay({ target: engine.address, delayMs: 1 });
  const init = createPostInit(createChatBody(true, 400), { 'x-request-id': 'r1' });
  const response = await fetch(`http://${relay.address}/v1/chat/completions`, init);
  const reader = response.body?.getReader();
  expect((await reader?.read())?.done).toBe(false);
  relay.cut();
  await expect(reader?.read()).rejects.toThrow();

  const resumed = await fetch(`http://${engine.address}/v1/requests/r1/stream?from=0`);
  const resumedReader = resumed.body?.getReader();
  expect((await resumedReader?.read())?.done).toBe(false);
  const cancelled = await sendRequest(engine.address, '/v1/requests/r1', { method: 'DELETE' });
  expect(cancelled.status).toBe(204);
  const stats = await sendRequest(engine.address, '/control/stats');
  expect(parseJson(stats.text)).toMatchObject({ prefillTokensCancelled: PROMPT_TOKENS });
});

test('an engine that checks fencing accepts an order and refuses a later one with a stale token', async () => {
  await using engine = await startEngineStandIn({ models: [], checksFencing: true });
  const load = { fencing: 5, order: { type: 'loadModel', model: MODEL } };
  expect((await sendRequest(engine.address, '/v1/orders', createPostInit(load))).status).toBe(200);
  const refused = await sendRequest(
    engine.address,
    '/v1/orders',
    createPostInit({ ...load, fencing: 4 }),
  );
  expect(refused).toEqual({ status: 409, text: '{"highestFencing":5}' });
});

test('the service counts runs by idempotency key and request id and echoes the request', async () => {
  await using service = await startServiceStandIn();
  const init = createPostInit(
    { domain: 'shop.example' },
    { 'idempotency-key': 'k1', 'x-request-id': 'r1' },
  );
  const response = await sendRequest(service.address, '/bindings?shop=1', init);
  expect(response.text).toBe(
    getExpectedServiceAnswer({
      method: 'POST',
      path: '/bindings?shop=1',
      body: '{"domain":"shop.example"}',
    }),
  );
  const runs = await sendRequest(service.address, '/control/runs');
  expect(parseJson(runs.text)).toEqual({ byKey: { k1: 1 }, byRequest: { r1: 1 } });
});
