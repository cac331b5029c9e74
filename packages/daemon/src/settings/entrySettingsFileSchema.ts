import { z } from 'zod';
import { settingsFields } from './settingsFields.js';

const { count, milliseconds, shared } = settingsFields;

/** Settings file of an entry. */
export const entrySettingsFileSchema = z.strictObject({
  ...shared,
  settleAllowanceMs: milliseconds.default(2_000),
  reservationsPerRequest: count.default(8),
  sidesPerPool: count.optional(),
  maximumWaiting: count.default(10_000),
  maximumWaitingBytes: count.default(134_217_728),
  keyPartitions: z.int().min(1).max(64).default(4),
  clockToleranceMs: milliseconds.default(2_000),
  maximumHeaderBytes: z.int().min(1_024).default(16_384),
  maximumConnections: count.default(10_000),
  slowSenderTimeoutMs: milliseconds.default(30_000),
  slowReaderBufferBytes: count.default(4_194_304),
  reportPeriodMs: milliseconds.default(60_000),
});
