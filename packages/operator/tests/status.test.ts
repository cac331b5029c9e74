import { expect, test } from 'vitest';
import type { HostName } from '@parsleyhall/common';
import type { ListedProcess, ProcessStatus } from '@parsleyhall/clients';
import { createMemoryLog } from './createMemoryLog.js';
import { createTestOperator } from './createTestOperator.js';

const createListedProcess = (process: string, operatorAddress: string): ListedProcess => ({
  host: `host-of-${process}` as HostName,
  dataCentre: 'maadi',
  role: process.startsWith('entry') ? 'entry' : 'target',
  process,
  address: '127.0.0.1:9',
  operatorAddress,
  state: 'live',
});

const createStatus = (process: string, changes: Partial<ProcessStatus>): ProcessStatus => ({
  process,
  role: 'entry',
  host: `host-of-${process}`,
  dataCentre: 'maadi',
  incarnation: 'a',
  configurationVersion: 7,
  presetInForce: 'peak',
  isLeaving: false,
  waitingByTier: [1, 2, 3, 4],
  runningByTier: [0, 0, 0, 0],
  shedding: { lowestTierAdmitted: 4 },
  sides: [],
  counters: {},
  ...changes,
});

test('status shows old configurations, shedding with its reason, disconnected sides and processes that do not answer', async () => {
  const side = { side: 'side-1', host: 'h', dataCentre: 'maadi', pool: 'language' };
  const operator = createTestOperator({
    log: createMemoryLog().client,
    name: 'hoda',
    hosts: ['1', '2', '3', '4'].map((number) =>
      createListedProcess(`entry-${number}`, `a:${number}`),
    ),
    statuses: {
      'a:1': createStatus('entry-1', { sides: [{ ...side, isConnected: false }] }),
      'a:2': createStatus('entry-2', {
        configurationVersion: 6,
        shedding: { lowestTierAdmitted: 2, reason: 'queueFull' },
      }),
      'a:3': createStatus('entry-3', { isLeaving: true }),
    },
  });
  const { exitCode, output } = await operator.run('status');
  expect(exitCode).toBe(0);
  expect(output).toContain('newest version: 7; behind it: entry-2; without an answer: 1');
  expect(output).toContain('entry-2 sheds below tier 2: queueFull');
  expect(output).toContain('entry-1 is linked to: side-1 (not connected)');
  expect(output).toMatch(/entry-3 .*leaving/);
  expect(output).toMatch(/entry-4 .*no answer: silent/);
  expect(await operator.runJson('status')).toHaveLength(4);
});
