import { z } from 'zod';

const count = z.number().int().min(0);

/** Settings of the log stand-in. All durations are in milliseconds. */
export const logSettingsSchema = z.strictObject({
  port: count.default(0),
  /** How long records are retained. */
  retentionMs: z.number().positive().default(86_400_000),
  /** Maximum rate of appends. One append is a batch of records. */
  appendsPerSecond: z.number().positive().default(500),
  delayMs: z.number().min(0).default(0),
});
