import { v7 as newUuid } from 'uuid';
import { expect, test } from 'vitest';
import { createLogClient, REPORT_STREAM, reportRecordSchema } from '@parsleyhall/clients';
import { getExpectedServiceAnswer } from '@parsleyhall/stand-ins';
import { sendCall } from './support/sendCall.js';
import { getExpectedBody } from './support/getExpectedBody.js';
import { startTestSystem } from './support/startTestSystem.js';

test('model and service calls work end to end through separate processes', async () => {
  await using system = await startTestSystem();
  const { url } = system;

  for (const isStreaming of [false, true]) {
    const body = { model: 'small', prompt: 'hello', max_tokens: 5, stream: isStreaming };
    const answer = await sendCall({ url, path: '/v1/completions', body });
    const requestId = answer.headers.get('x-request-id') ?? '';
    const { text } = answer;
    expect(answer.status).toBe(200);
    expect(text).toBe(
      getExpectedBody({ requestId, prompt: 'hello', answerTokens: 5, isStreaming, text }),
    );
  }

  const call = { a: 1 };
  const status = await sendCall({ url, path: '/services/portal/status?x=1', body: call });
  const expected = { method: 'POST', path: '/status?x=1', body: JSON.stringify(call) };
  expect(status.text).toBe(getExpectedServiceAnswer(expected));

  const key = newUuid();
  const sendBinding = (body: object) =>
    sendCall({
      url,
      path: '/services/portal/domains/1',
      body,
      headers: { 'idempotency-key': key },
    });
  const [first, repeated] = [await sendBinding(call), await sendBinding(call)];
  expect(first.status).toBe(200);
  expect(repeated.text).toBe(first.text);
  expect(await sendBinding({ a: 2 })).toMatchObject({ status: 422 });
  const runs = await fetch(`http://${system.service.address}/control/runs`);
  expect(await runs.json()).toMatchObject({ byKey: { [key]: 1 } });

  const metrics = await fetch(`${url}/metrics`);
  expect(await metrics.text()).toContain('parsleyhall_time_to_first_token_milliseconds_count');

  system.entry.signal('SIGTERM');
  expect(await system.entry.exited).toBe(0);

  const log = createLogClient({ address: system.platform.logAddress });
  const page = await log.read({ stream: REPORT_STREAM, from: 1, limit: 10, waitMs: 0 });
  await log[Symbol.asyncDispose]();
  const reports = page.unsafeCoerce().records.map(({ value }) => reportRecordSchema.parse(value));
  expect(reports.flatMap(({ rows }) => rows)).toMatchObject([
    { tier: 3, team: 'branches', sent: 5, inTime: 5, notRunByReason: {} },
  ]);

  system.engineSide.signal('SIGTERM');
  expect(await system.engineSide.exited).toBe(0);
});
