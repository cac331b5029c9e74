import { z } from 'zod';

/** Settings of the plain service stand-in. */
export const serviceSettingsSchema = z.strictObject({
  port: z.number().int().min(0).default(0),
  /** Time to an answer, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Refuses a fencing offset below the highest one seen. */
  checksFencing: z.boolean().default(false),
});
