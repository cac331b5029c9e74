import { v7 as newUuid } from 'uuid';
import { describe, expect, test } from 'vitest';
import { startEngineStandIn, startRelay } from '@parsleyhall/stand-ins';
import { sendCall } from './support/sendCall.js';
import { checkResults } from './support/checkResults.js';
import { startDaemon } from './support/startDaemon.js';
import { startLoad } from './support/startLoad.js';
import { startTestSystem } from './support/startTestSystem.js';
import { waitForRun } from './support/waitForRun.js';
import { waitUntilServing } from './support/waitUntilServing.js';
import { waitUntilAccepted } from './support/waitUntilAccepted.js';

const CALLS = 32;

const createEngineSideSettings = (engine: { readonly address: string }) => ({
  target: { address: engine.address, kind: 'engine', pool: 'language', models: ['small'] },
});

describe('under load', () => {
  test('a side process is killed and its successor resumes the running streams', async () => {
    await using system = await startTestSystem();
    const { engine, engineSide, platform, url } = system;
    const load = startLoad(url, CALLS);
    await load.firstResponse;
    engineSide.signal('SIGKILL');
    await engineSide.exited;
    await using successor = await startDaemon('side', {
      ...platform.createSettings('side-engine'),
      ...createEngineSideSettings(engine),
    });
    const address = successor.listeners.peers ?? '';
    await platform.putHost({ process: 'side-engine', role: 'target', address });
    const summary = await checkResults(await load.results, [engine]);
    expect(summary.cut).toBe(0);
    expect(summary.complete).toBeGreaterThan(0);
  });

  test('an entry is killed and another one serves', async () => {
    await using system = await startTestSystem();
    const { engine, entry, platform, service } = system;
    await using second = await startDaemon('entry', platform.createSettings('entry-2'));
    await waitUntilServing(second, ['side-engine', 'side-service']);
    const secondUrl = `http://${second.listeners.callers ?? ''}`;

    await fetch(`http://${service.address}/control`, {
      method: 'PUT',
      body: JSON.stringify({ stalled: true }),
    });
    const key = newUuid();
    const sendBinding = (url: string) =>
      sendCall({
        url,
        path: '/services/portal/domains/1',
        body: { a: 1 },
        headers: { 'idempotency-key': key, 'x-deadline-ms': '8000' },
      }).catch(() => 'cut' as const);
    const firstBinding = sendBinding(system.url);
    await waitForRun(service, key);
    const load = startLoad(system.url, CALLS);
    const otherLoad = startLoad(secondUrl, CALLS);
    await load.firstResponse;
    entry.signal('SIGKILL');
    expect(await firstBinding).toBe('cut');
    const repeated = sendBinding(secondUrl);
    await fetch(`http://${service.address}/control`, {
      method: 'PUT',
      body: JSON.stringify({ stalled: false }),
    });
    // The run continued after its entry was killed, so it must not be reported as not run or be run again.
    const answer = await repeated;
    expect(answer).not.toBe('cut');
    expect(answer).toMatchObject({ status: 502 });
    const results = [...(await load.results), ...(await otherLoad.results)];
    const summary = await checkResults(results, [engine]);
    expect(summary.complete).toBeGreaterThanOrEqual(CALLS);
    const runs = await fetch(`http://${service.address}/control/runs`);
    expect(await runs.json()).toMatchObject({ byKey: { [key]: 1 } });
  });

  // With the longer timeout the connection's own keep-alive notices the pause first.
  test.each([
    { name: 'heartbeats', options: {} },
    { name: 'the keep-alive', options: { entry: { peerTimeoutMs: 8_000 } } },
  ])('a side process is paused past its lease, as $name show, and continues', async (noticed) => {
    await using system = await startTestSystem(noticed.options);
    const { engine, engineSide, entry, url } = system;
    const load = startLoad(url, CALLS);
    await load.firstResponse;
    engineSide.signal('SIGSTOP');
    await Promise.any([
      entry.waitForLine({ event: 'peerSilent' }),
      entry.waitForLine({ event: 'peerDisconnected' }),
    ]);
    engineSide.signal('SIGCONT');
    const summary = await checkResults(await load.results, [engine]);
    expect(summary.cut).toBe(0);
    expect(summary.complete).toBeGreaterThan(0);
  });

  test('a connection between entry and side process is cut and reestablished', async () => {
    await using system = await startTestSystem();
    const { engine, engineSide, platform, url } = system;
    await using relay = await startRelay({
      target: engineSide.listeners.peers ?? '',
      delayMs: 1,
    });
    await using second = await startDaemon('entry', platform.createSettings('entry-2'));
    await platform.putHost({ process: 'side-engine', role: 'target', address: relay.address });
    await waitUntilServing(second, ['side-engine']);
    const load = startLoad(`http://${second.listeners.callers ?? ''}`, CALLS);
    const otherLoad = startLoad(url, CALLS);
    await load.firstResponse;
    relay.cut();
    relay.heal();
    const results = [...(await load.results), ...(await otherLoad.results)];
    const summary = await checkResults(results, [engine]);
    expect(summary).toMatchObject({ cut: 0, unknown: 0 });
    expect(summary.complete).toBeGreaterThan(0);
  });

  test('a planned stop of an entry and a side process cuts no response', async () => {
    await using system = await startTestSystem();
    const { engine, engineSide, entry, platform, url } = system;
    await using secondEngine = await startEngineStandIn({ seed: 2 });
    await using secondSide = await startDaemon('side', {
      ...platform.createSettings('side-engine-2'),
      ...createEngineSideSettings(secondEngine),
    });
    const address = secondSide.listeners.peers ?? '';
    await platform.putHost({ process: 'side-engine-2', role: 'target', address });
    await using second = await startDaemon('entry', platform.createSettings('entry-2'));
    const all = ['side-engine', 'side-engine-2'];
    await waitUntilServing(second, all);
    await waitUntilServing(entry, all);
    const secondUrl = `http://${second.listeners.callers ?? ''}`;
    const load = startLoad(url, CALLS);
    const otherLoad = startLoad(secondUrl, CALLS);
    await load.firstResponse;
    // Calls that reach an entry after its stop signal are rejected as not run, so all must be accepted before it.
    await waitUntilAccepted(entry, CALLS);
    entry.signal('SIGTERM');
    engineSide.signal('SIGTERM');
    const results = [...(await load.results), ...(await otherLoad.results)];
    const summary = await checkResults(results, [engine, secondEngine]);
    expect(summary).toEqual({ complete: 2 * CALLS, notRun: 0, unknown: 0, cut: 0 });
    expect(await entry.exited).toBe(0);
    expect(await engineSide.exited).toBe(0);
    const later = await startLoad(secondUrl, 4).results;
    expect(await checkResults(later, [engine, secondEngine])).toMatchObject({ complete: 4 });
  });
});
