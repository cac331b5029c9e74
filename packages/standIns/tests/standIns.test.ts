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

const call = async (
  address: string,
  path: string,
  init: RequestInit = {},
): Promise<{ readonly status: number; readonly text: string }> => {
  const response = await fetch(`http://${address}${path}`, init);
  return { status: response.status, text: await response.text() };
};

const post = (body: unknown, headers: Readonly<Record<string, string>> = {}): RequestInit => ({
  method: 'POST',
  body: JSON.stringify(body),
  headers,
});

const put = (body: unknown): RequestInit => ({ method: 'PUT', body: JSON.stringify(body) });

const readJson = (text: string): unknown => JSON.parse(text) as unknown;

test('the log keeps order, loses answers after the effect, trims and has outages', async () => {
  await using log = await startLogStandIn();
  const path = '/v1/streams/keys-0/records';
  const first = await call(log.address, path, post({ records: ['a', 'b'] }));
  expect(readJson(first.text)).toEqual({ firstOffset: 1, nextOffset: 3 });

  const polled = call(log.address, `${path}?from=3&waitMs=60000`);
  await call(log.address, '/control', put({ loseAnswers: 1 }));
  await expect(call(log.address, path, post({ records: ['c'] }))).rejects.toThrow();
  expect(readJson((await polled).text)).toMatchObject({
    nextOffset: 4,
    endOffset: 4,
    records: [{ offset: 3, value: 'c' }],
  });

  await call(log.address, '/control/trim', post({ stream: 'keys-0', before: 3 }));
  const trimmed = await call(log.address, `${path}?from=1`);
  expect(trimmed.status).toBe(410);
  expect(readJson(trimmed.text)).toEqual({ earliestOffset: 3 });

  await call(log.address, '/control', put({ outage: true }));
  expect((await call(log.address, path, post({ records: ['d'] }))).status).toBe(503);
  expect((await call(log.address, `${path}?from=3`)).status).toBe(503);
});

test('the list shows a process until it is taken out', async () => {
  await using list = await startListStandIn();
  const record = {
    host: 'h1',
    dataCentre: 'maadi',
    role: 'target',
    process: 's1',
    address: '127.0.0.1:1',
    state: 'live',
  };
  await call(list.address, '/control/hosts/s1', put(record));
  const shown = await call(list.address, '/v1/hosts');
  expect(readJson(shown.text)).toMatchObject({ hosts: [record] });
  await call(list.address, '/control', put({ lagMs: 600_000 }));
  expect(readJson((await call(list.address, '/v1/hosts')).text)).toMatchObject({ hosts: [] });
});

const MODEL = 'small';
const PROMPT = 'audit this bundle. '.repeat(60);
const PROMPT_TOKENS = PROMPT.length / 4;

const newChat = (stream: boolean, answerTokens: number): unknown => ({
  model: MODEL,
  stream,
  messages: [{ role: 'user', content: PROMPT }],
  metadata: { answer_tokens: String(answerTokens) },
});

const getAnswer = (requestId: string, isStreaming: boolean, cachedTokens: number): string =>
  getExpectedAnswer({
    requestId,
    endpoint: 'chat',
    model: MODEL,
    prompt: PROMPT,
    answerTokens: 12,
    isStreaming,
    cachedTokens,
  });

test('the engine answers byte for byte, spares a cached prefix and resumes from any byte', async () => {
  await using engine = await startEngineStandIn({ timeScale: 4 });
  const path = '/v1/chat/completions';
  const whole = await call(engine.address, path, post(newChat(true, 12), { 'x-request-id': 'r1' }));
  expect(whole.text).toBe(getAnswer('r1', true, 0));

  const cachedTokens = Math.floor(PROMPT.length / 256) * 64;
  const again = await call(
    engine.address,
    path,
    post(newChat(false, 12), { 'x-request-id': 'r2' }),
  );
  expect(again.text).toBe(getAnswer('r2', false, cachedTokens));

  const rest = await call(engine.address, '/v1/requests/r1/stream?from=100');
  expect(rest.text).toBe(whole.text.slice(100));
  expect((await call(engine.address, '/v1/requests/none/stream?from=0')).status).toBe(404);

  const stats = await call(engine.address, '/control/stats');
  expect(readJson(stats.text)).toMatchObject({
    runsByRequest: { r1: 1, r2: 1 },
    prefillTokensSpared: cachedTokens,
    prefillTokensComputed: 2 * PROMPT_TOKENS - cachedTokens,
    decodeTokens: 24,
  });
});

test('a dropped connection does not stop a run and a cancel does', async () => {
  await using engine = await startEngineStandIn({ timeScale: 4 });
  await using relay = await startRelay({ target: engine.address, delayMs: 1 });
  const init = post(newChat(true, 400), { 'x-request-id': 'r1' });
  const response = await fetch(`http://${relay.address}/v1/chat/completions`, init);
  const reader = response.body?.getReader();
  expect((await reader?.read())?.done).toBe(false);
  relay.cut();
  await expect(reader?.read()).rejects.toThrow();

  const resumed = await fetch(`http://${engine.address}/v1/requests/r1/stream?from=0`);
  const resumedReader = resumed.body?.getReader();
  expect((await resumedReader?.read())?.done).toBe(false);
  const cancelled = await call(engine.address, '/v1/requests/r1', { method: 'DELETE' });
  expect(cancelled.status).toBe(204);
  const stats = await call(engine.address, '/control/stats');
  expect(readJson(stats.text)).toMatchObject({ prefillTokensCancelled: PROMPT_TOKENS });
});

test('an engine that checks fencing refuses an old number and a loaded model answers', async () => {
  await using engine = await startEngineStandIn({ models: [], checksFencing: true });
  const load = { fencing: 5, order: { type: 'loadModel', model: MODEL } };
  expect((await call(engine.address, '/v1/orders', post(load))).status).toBe(200);
  const refused = await call(engine.address, '/v1/orders', post({ ...load, fencing: 4 }));
  expect(refused).toEqual({ status: 409, text: '{"highestFencing":5}' });
});

test('the service counts runs by key and echoes its call', async () => {
  await using service = await startServiceStandIn();
  const init = post({ domain: 'shop.example' }, { 'idempotency-key': 'k1', 'x-request-id': 'r1' });
  const answer = await call(service.address, '/bindings?shop=1', init);
  expect(answer.text).toBe(
    getExpectedServiceAnswer({
      method: 'POST',
      path: '/bindings?shop=1',
      body: '{"domain":"shop.example"}',
    }),
  );
  const runs = await call(service.address, '/control/runs');
  expect(readJson(runs.text)).toEqual({ byKey: { k1: 1 }, byRequest: { r1: 1 } });
});
