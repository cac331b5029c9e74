import { z } from 'zod';

/** Settings of the plain service stand-in. */
export const serviceSettingsSchema = z.strictObject({
  port: z.number().int().min(0).default(0),
  /** Delay before each response, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Refuses requests whose fencing token is lower than the highest one seen. */
  checksFencing: z.boolean().default(false),
});
