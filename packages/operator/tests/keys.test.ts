import { expect, test } from 'vitest';
import { getKeyPartition, getKeyStream, type KeyRecord } from '@parsleyhall/entry';
import { createMemoryLog } from './createMemoryLog.js';
import { createTestOperator } from './createTestOperator.js';

const KEY = '0190b3a2-7c1e-7f00-8a11-2b3c4d5e6f70';

const KEY_PARTITIONS = 4;
const STREAM = getKeyStream(getKeyPartition(KEY, KEY_PARTITIONS));

const append = async (
  { client }: ReturnType<typeof createMemoryLog>,
  ...records: readonly KeyRecord[]
): Promise<void> => {
  await client.append({ stream: STREAM, records });
};

test('an unknown outcome is shown and can be settled once as not run, which frees the key', async () => {
  const log = createMemoryLog();
  const hoda = createTestOperator({ log: log.client, name: 'hoda' });
  const owned = { key: KEY, attempt: 'a#1' };
  await append(log, { type: 'start', ...owned, requestFingerprint: 'f' });
  expect(await hoda.runJson(`key show ${KEY}`)).toMatchObject({ condition: 'running' });
  const running = await hoda.run(`key settle ${KEY} --as not-run`);
  expect(running).toMatchObject({ exitCode: 1 });
  expect(running.errors).toContain('--owner-gone');
  await append(log, { type: 'unknown', ...owned });
  expect(await hoda.runJson(`key show ${KEY}`)).toMatchObject({ condition: 'unknown' });
  expect(await hoda.run(`key settle ${KEY}`)).toMatchObject({ exitCode: 2 });
  expect(await hoda.runJson(`key settle ${KEY} --as not-run`)).toMatchObject({ condition: 'free' });
  const again = await hoda.run(`key settle ${KEY} --as done`);
  expect(again).toMatchObject({ exitCode: 1 });
  expect(again.errors).toContain('nothing to settle');
});

test('a run settled as done keeps its key claimed, and a finished run cannot be settled', async () => {
  const log = createMemoryLog();
  const hoda = createTestOperator({ log: log.client, name: 'hoda' });
  const owned = { key: KEY, attempt: 'a#1' };
  await append(log, { type: 'start', ...owned, requestFingerprint: 'f' });
  await append(log, { type: 'unknown', ...owned });
  expect(await hoda.runJson(`key settle ${KEY} --as done`)).toMatchObject({ condition: 'done' });
  expect(await hoda.run(`key settle ${KEY} --as not-run`)).toMatchObject({ exitCode: 1 });
});

test('a running key can be settled when the operator confirms that its entry is gone', async () => {
  const log = createMemoryLog();
  const hoda = createTestOperator({ log: log.client, name: 'hoda' });
  await append(log, { type: 'start', key: KEY, attempt: 'a#1', requestFingerprint: 'f' });
  const settled = await hoda.runJson(`key settle ${KEY} --as not-run --owner-gone`);
  expect(settled).toMatchObject({ condition: 'free' });
});
