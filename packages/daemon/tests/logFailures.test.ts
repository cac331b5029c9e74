import { v7 as newUuid } from 'uuid';
import { describe, expect, test } from 'vitest';
import { sendCall } from './support/sendCall.js';
import { checkResults } from './support/checkResults.js';
import { startDaemon } from './support/startDaemon.js';
import { startLoad } from './support/startLoad.js';
import { startTestSystem } from './support/startTestSystem.js';
import { waitUntilServing } from './support/waitUntilServing.js';

const setControl = async (address: string, body: object): Promise<void> => {
  await fetch(`http://${address}/control`, { method: 'PUT', body: JSON.stringify(body) });
};

const sendBinding = (url: string, key: string, deadlineMs: number) =>
  sendCall({
    url,
    path: '/services/portal/domains/1',
    body: { a: 1 },
    headers: { 'idempotency-key': key, 'x-deadline-ms': String(deadlineMs) },
  });

const readRuns = async (service: { readonly address: string }, key: string): Promise<number> => {
  const answer = await fetch(`http://${service.address}/control/runs`);
  const runs = (await answer.json()) as { readonly byKey: Readonly<Record<string, number>> };
  return runs.byKey[key] ?? 0;
};

describe('log failures', () => {
  test('during an outage model calls continue, a non-idempotent call is rejected as not run, and it runs once afterwards', async () => {
    await using system = await startTestSystem();
    const { engine, platform, service, url } = system;
    const key = newUuid();
    await setControl(platform.logAddress, { outage: true });
    await system.entry.waitForLine({ event: 'logFailed' });
    const refused = await sendBinding(url, key, 1_500);
    expect(refused.text).toContain('urn:parsleyhall:problem:not-run:');
    expect(await readRuns(service, key)).toBe(0);
    const results = await startLoad(url, 8).results;
    expect(await checkResults(results, [engine])).toMatchObject({ complete: 8 });

    await setControl(platform.logAddress, { outage: false });
    const retried = await sendBinding(url, key, 30_000);
    expect(retried.status).toBe(200);
    expect(await readRuns(service, key)).toBe(1);
  });

  test('when responses to appends are lost, a key sent through two entries at once runs once', async () => {
    await using system = await startTestSystem();
    const { platform, service, url } = system;
    await using second = await startDaemon('entry', platform.createSettings('entry-2'));
    await waitUntilServing(second, ['side-service']);
    const secondUrl = `http://${second.listeners.callers ?? ''}`;
    const key = newUuid();
    await setControl(platform.logAddress, { loseAnswers: 2 });
    const answers = await Promise.all([
      sendBinding(url, key, 30_000),
      sendBinding(secondUrl, key, 30_000),
    ]);
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    expect(answers[0].text).toBe(answers[1].text);
    expect(await readRuns(service, key)).toBe(1);
  });
});
