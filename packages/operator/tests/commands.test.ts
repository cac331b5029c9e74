import { describe, expect, test } from 'vitest';
import {
  EMPTY_CONFIGURATION_READER,
  createCheckpoint,
  foldConfigurationPage,
} from '@parsleyhall/configuration';
import { createMemoryLog } from './createMemoryLog.js';
import { createTestOperator } from './createTestOperator.js';
import { createTestDocument } from './createTestDocument.js';

const files = {
  'document.json': createTestDocument(['ordinary', 'peak', 'maintenance']),
  'without-peak.json': createTestDocument(['ordinary']),
};

const startPublished = async () => {
  const log = createMemoryLog();
  const hoda = createTestOperator({ log: log.client, name: 'hoda', files });
  const karim = createTestOperator({ log: log.client, name: 'karim', files });
  expect(await hoda.run('configuration publish document.json')).toMatchObject({ exitCode: 0 });
  return { log, hoda, karim };
};

test('a published configuration is shown, changed and compared by version', async () => {
  const { hoda, karim } = await startPublished();
  expect(await karim.runJson('preset use peak')).toMatchObject({ version: 2, before: 'ordinary' });
  expect(await karim.runJson('host drain maadi-3')).toMatchObject({ drainedHosts: ['maadi-3'] });
  expect(await hoda.runJson('configuration show')).toMatchObject({
    version: 3,
    presetInForce: 'peak',
    drainedHosts: ['maadi-3'],
  });
  expect(await hoda.runJson('host restore maadi-3')).toEqual({ version: 4, drainedHosts: [] });
  expect(await hoda.runJson('preset list')).toMatchObject({ presetInForce: 'peak' });
  expect(await hoda.runJson('configuration diff document.json')).toEqual({
    version: 4,
    differences: [],
  });
  const refused = await hoda.run('configuration publish without-peak.json');
  expect(refused).toMatchObject({ exitCode: 1 });
  expect(refused.errors).toContain('presets.peak');
  expect(refused.errors).toContain('lacks the preset in force, peak');
  expect(await hoda.run('preset use holiday')).toMatchObject({ exitCode: 1 });
  expect(await hoda.runJson('configuration show')).toMatchObject({ version: 4 });
});

test('of two concurrent changes one wins and the other operator is told who made it', async () => {
  const { log, hoda, karim } = await startPublished();
  log.beforeNextAppend(async () => {
    expect(await karim.run('preset use peak')).toMatchObject({ exitCode: 0 });
  });
  const lost = await hoda.run('preset use maintenance');
  expect(lost.exitCode).toBe(1);
  expect(lost.errors).toContain('Lost the race: karim');
  expect(await hoda.runJson('configuration show')).toMatchObject({ presetInForce: 'peak' });
});

describe('a lost append response', () => {
  test('is resolved by reading the log, without a second append', async () => {
    const { log, hoda } = await startPublished();
    log.loseNextAppendResponse(true);
    expect(await hoda.run('preset use peak')).toMatchObject({ exitCode: 0 });
    expect(log.records).toHaveLength(2);
  });

  test('is reported as unsettled while the change is not in the log', async () => {
    const { log, hoda } = await startPublished();
    log.loseNextAppendResponse(false);
    const unsettled = await hoda.run('preset use peak');
    expect(unsettled.exitCode).toBe(1);
    expect(unsettled.errors).toContain('only while version 1 is the current one');
    expect(log.records).toHaveLength(1);
  });
});

test('during an outage of the log the command fails and changes nothing', async () => {
  const { log, hoda } = await startPublished();
  log.beforeNextAppend(() => {
    log.setOutage(true);
    return Promise.resolve();
  });
  const failed = await hoda.run('preset use peak');
  expect(failed).toMatchObject({ exitCode: 1 });
  expect(failed.errors).toContain('Nothing was changed');
  expect(await hoda.run('configuration show')).toMatchObject({ exitCode: 1 });
  log.setOutage(false);
  expect(await hoda.runJson('configuration show')).toMatchObject({ presetInForce: 'ordinary' });
});

test('a trimmed stream is read from a checkpoint, and without one the command fails with that reason', async () => {
  const { log, hoda } = await startPublished();
  const { reader } = foldConfigurationPage(EMPTY_CONFIGURATION_READER, {
    from: 1,
    nextOffset: 2,
    records: log.records,
  });
  log.trim(2);
  expect((await hoda.run('preset use peak')).errors).toContain('no checkpoint');
  await log.client.append({ stream: 'configuration', records: [createCheckpoint(reader, 'c')] });
  expect(await hoda.runJson('preset use peak')).toMatchObject({ version: 3 });
});

test('settings check reports all faults of a file at once', async () => {
  const log = createMemoryLog();
  const operator = createTestOperator({
    log: log.client,
    name: 'hoda',
    files: {
      'odd.json': { log: { address: 'localhost:1' }, operator: '', colour: 'red' },
      ...files,
    },
  });
  const checked = await operator.run('settings check odd.json');
  expect(checked.exitCode).toBe(1);
  for (const part of ['log.address', 'hostList', 'operator', 'colour', '4 faults']) {
    expect(checked.errors).toContain(part);
  }
  expect(await operator.run('settings check document.json')).toMatchObject({ exitCode: 0 });
  expect(await operator.run('settings check missing.json')).toMatchObject({ exitCode: 1 });
});
