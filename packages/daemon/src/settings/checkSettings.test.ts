import { expect, test } from 'vitest';
import { checkSettings } from './checkSettings.js';
import { entrySettingsFileSchema } from './entrySettingsFileSchema.js';
import { sideSettingsFileSchema } from './sideSettingsFileSchema.js';

const SHARED = {
  process: 'entry-1',
  host: 'host-1',
  dataCentre: 'maadi',
  listen: { address: '127.0.0.1', port: 0 },
  operatorListen: { address: '127.0.0.1', port: 0 },
  log: { address: '127.0.0.1:7000' },
  hostList: { address: '127.0.0.1:7001' },
};

const TARGET = { address: '127.0.0.1:7002', kind: 'engine', pool: 'language', models: ['m'] };

test('three faults of one file are reported together, each with what was found and what is allowed', () => {
  const text = JSON.stringify({
    ...SHARED,
    listen: { address: '127.0.0.1', port: 70_000 },
    logLevel: 'loud',
    heartbeat: 5,
  });
  const faults = checkSettings(entrySettingsFileSchema, text).swap().orDefault([]);
  expect(faults).toEqual([
    { path: 'listen.port', found: '70000', allowed: 'at most 65535' },
    { path: 'logLevel', found: '"loud"', allowed: expect.stringContaining('debug') as unknown },
    { path: 'heartbeat', found: '5', allowed: 'no such field' },
  ]);
});

test('a complete file is valid and gets the defaults filled in', () => {
  const entry = checkSettings(entrySettingsFileSchema, JSON.stringify(SHARED)).unsafeCoerce();
  expect(entry).toMatchObject({
    heartbeatMs: 500,
    peerTimeoutMs: 2_500,
    reservationsPerRequest: 8,
  });
  const side = checkSettings(
    sideSettingsFileSchema,
    JSON.stringify({ ...SHARED, target: TARGET }),
  ).unsafeCoerce();
  expect(side).toMatchObject({ grantLeaseMs: 1_000, answerRetentionMs: 60_000 });
});

test('text that is not JSON is one fault', () => {
  expect(checkSettings(entrySettingsFileSchema, '{').swap().orDefault([])).toHaveLength(1);
});
