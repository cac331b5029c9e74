import { z } from 'zod';

const count = z.number().int().min(0);

/** Settings of the log stand-in; times in milliseconds. */
export const logSettingsSchema = z.strictObject({
  port: count.default(0),
  /** Time that records are kept. */
  retentionMs: z.number().positive().default(86_400_000),
  /** Appends (batches) accepted a second. */
  appendsPerSecond: z.number().positive().default(500),
  delayMs: z.number().min(0).default(0),
});
