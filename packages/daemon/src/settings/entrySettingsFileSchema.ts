import { z } from 'zod';
import { settingsFields } from './settingsFields.js';

const { count, milliseconds, shared } = settingsFields;

/** Settings file of an entry. */
export const entrySettingsFileSchema = z.strictObject({
  ...shared,
  settleAllowanceMs: milliseconds
    .default(2_000)
    .describe(
      'Time after a deadline during which the outcome of a request may still be determined',
    ),
  reservationsPerRequest: count
    .default(8)
    .describe('Maximum number of side processes at which a request is reserved'),
  sidesPerPool: count
    .optional()
    .describe(
      'Number of side processes of a pool that the entry connects to; all of them when absent',
    ),
  maximumWaiting: count.default(10_000).describe('Maximum number of waiting requests'),
  maximumWaitingBytes: count
    .default(134_217_728)
    .describe('Maximum size of all waiting request bodies together, in bytes'),
  clockToleranceMs: milliseconds
    .default(2_000)
    .describe("Maximum difference between two hosts' wall clocks"),
  maximumHeaderBytes: z
    .int()
    .min(1_024)
    .default(16_384)
    .describe('Maximum size of the headers of a request, in bytes'),
  maximumConnections: count
    .default(10_000)
    .describe('Maximum number of open connections from callers'),
  slowSenderTimeoutMs: milliseconds
    .default(30_000)
    .describe('Time within which a request must arrive completely'),
  slowReaderBufferBytes: count
    .default(4_194_304)
    .describe('Response bytes buffered for a slow caller before its connection is closed'),
  reportPeriodMs: milliseconds
    .default(60_000)
    .describe('Time between two records for the burn report'),
});
