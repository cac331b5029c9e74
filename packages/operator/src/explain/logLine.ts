import { z } from 'zod';

/** A log line of any process; which fields it has follows from its event. */
export const logLine = z
  .looseObject({
    event: z.string(),
    host: z.string().default('unknown host'),
    process: z.string().default('unknown process'),
    time: z.string().default(''),
  })
  .readonly();
