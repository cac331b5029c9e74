import { z } from 'zod';

/** Record of one process in the host list. */
export const listedRecordSchema = z.object({
  host: z.string(),
  dataCentre: z.string(),
  role: z.enum(['entry', 'target']),
  process: z.string(),
  address: z.string(),
  operatorAddress: z.string().optional(),
  pool: z.string().optional(),
  state: z.enum(['live', 'leaving']),
});
