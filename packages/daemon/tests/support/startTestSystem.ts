import { startEngineStandIn, startServiceStandIn } from '@parsleyhall/stand-ins';
import { startDaemon } from './startDaemon.js';
import { startTestPlatform } from './startTestPlatform.js';
import type { TestSystem } from './testSystem.js';
import { waitUntilServing } from './waitUntilServing.js';

/** Starts a complete system with the daemons as child processes and waits until it serves both pools. */
export const startTestSystem = async (
  options: { readonly engine?: object; readonly side?: object; readonly entry?: object } = {},
): Promise<TestSystem> => {
  const platform = await startTestPlatform();
  const engine = await startEngineStandIn(options.engine ?? {});
  const service = await startServiceStandIn();
  const engineSide = await startDaemon('side', {
    ...platform.createSettings('side-engine'),
    target: { address: engine.address, kind: 'engine', pool: 'language', models: ['small'] },
    ...options.side,
  });
  const serviceSide = await startDaemon('side', {
    ...platform.createSettings('side-service'),
    target: { address: service.address, kind: 'service', pool: 'portal' },
    ...options.side,
  });
  for (const [process, daemon] of [
    ['side-engine', engineSide],
    ['side-service', serviceSide],
  ] as const) {
    const address = daemon.listeners.peers ?? '';
    await platform.putHost({ process, role: 'target', address });
  }
  const entry = await startDaemon('entry', {
    ...platform.createSettings('entry-1'),
    ...options.entry,
  });
  const url = `http://${entry.listeners.callers ?? ''}`;
  await waitUntilServing(entry, ['side-engine', 'side-service']);
  return {
    platform,
    engine,
    service,
    engineSide,
    serviceSide,
    entry,
    url,
    [Symbol.asyncDispose]: async () => {
      await entry[Symbol.asyncDispose]();
      await engineSide[Symbol.asyncDispose]();
      await serviceSide[Symbol.asyncDispose]();
      await service[Symbol.asyncDispose]();
      await engine[Symbol.asyncDispose]();
      await platform[Symbol.asyncDispose]();
    },
  };
};
