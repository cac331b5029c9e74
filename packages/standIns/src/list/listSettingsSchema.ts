import { z } from 'zod';
import { listedRecordSchema } from './listedRecordSchema.js';

/** Settings of the host list stand-in. */
export const listSettingsSchema = z.strictObject({
  port: z.number().int().min(0).default(0),
  /** Delay until a change appears in the served list, in milliseconds. */
  lagMs: z.number().min(0).default(0),
  hosts: z.array(listedRecordSchema).default([]),
});
