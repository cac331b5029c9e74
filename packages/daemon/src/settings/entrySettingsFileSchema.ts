import { z } from 'zod';
import { settingsFields } from './settingsFields.js';

const { count, milliseconds, shared } = settingsFields;

/** Settings file of an entry. */
export const entrySettingsFileSchema = z.strictObject({
  ...shared,
  settleAllowanceMs: milliseconds
    .default(2_000)
    .describe('Time allowed after a deadline for settling what became of a request'),
  reservationsPerRequest: count
    .default(8)
    .describe('Side processes that a request is reserved at, at most'),
  sidesPerPool: count
    .optional()
    .describe('Side processes of a pool that the entry connects to; all without it'),
  maximumWaiting: count.default(10_000).describe('Requests that may wait at once'),
  maximumWaitingBytes: count.default(134_217_728).describe('Bytes of bodies that may wait at once'),
  clockToleranceMs: milliseconds
    .default(2_000)
    .describe("Largest difference between two hosts' wall clocks"),
  maximumHeaderBytes: z.int().min(1_024).default(16_384).describe('Largest head of a request'),
  maximumConnections: count.default(10_000).describe("Callers' connections at once"),
  slowSenderTimeoutMs: milliseconds
    .default(30_000)
    .describe('Time within which a request must have arrived whole'),
  slowReaderBufferBytes: count
    .default(4_194_304)
    .describe('Bytes of an answer kept for a slow caller before its connection is cut'),
  reportPeriodMs: milliseconds
    .default(60_000)
    .describe('Time between two summaries for the burn report'),
});
