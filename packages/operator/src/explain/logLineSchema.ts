import { z } from 'zod';

/** Schema of a log line of any process; its further fields depend on its event. */
export const logLineSchema = z
  .looseObject({
    event: z.string(),
    host: z.string().default('unknown host'),
    process: z.string().default('unknown process'),
    time: z.string().default(''),
  })
  .readonly();
