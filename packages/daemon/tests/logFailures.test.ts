import { v7 as newUuid } from 'uuid';
import { describe, expect, test } from 'vitest';
import { ask } from './support/ask.js';
import { checkResults } from './support/checkResults.js';
import { startDaemon } from './support/startDaemon.js';
import { startLoad } from './support/startLoad.js';
import { startTestSystem } from './support/startTestSystem.js';
import { waitUntilServing } from './support/waitUntilServing.js';

const control = async (address: string, body: object): Promise<void> => {
  await fetch(`http://${address}/control`, { method: 'PUT', body: JSON.stringify(body) });
};

const bind = (url: string, key: string, deadlineMs: number) =>
  ask({
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

describe('a log that fails', () => {
  test('in an outage model calls go on, a binding is refused as not run, and runs once afterwards', async () => {
    await using system = await startTestSystem();
    const { engine, platform, service, url } = system;
    const key = newUuid();
    await control(platform.logAddress, { outage: true });
    await system.entry.waitForLine({ event: 'logFailed' });
    const refused = await bind(url, key, 1_500);
    expect(refused.text).toContain('urn:parsleyhall:problem:not-run:');
    expect(await readRuns(service, key)).toBe(0);
    const results = await startLoad(url, 8).results;
    expect(await checkResults(results, [engine])).toMatchObject({ whole: 8 });

    await control(platform.logAddress, { outage: false });
    const again = await bind(url, key, 30_000);
    expect(again.status).toBe(200);
    expect(await readRuns(service, key)).toBe(1);
  });

  test('with append answers lost a key that is used through two entries at once runs once', async () => {
    await using system = await startTestSystem();
    const { platform, service, url } = system;
    await using second = await startDaemon('entry', platform.newSettings('entry-2'));
    await waitUntilServing(second, ['side-service']);
    const secondUrl = `http://${second.listeners.callers ?? ''}`;
    const key = newUuid();
    await control(platform.logAddress, { loseAnswers: 2 });
    const answers = await Promise.all([bind(url, key, 30_000), bind(secondUrl, key, 30_000)]);
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    expect(answers[0].text).toBe(answers[1].text);
    expect(await readRuns(service, key)).toBe(1);
  });
});
