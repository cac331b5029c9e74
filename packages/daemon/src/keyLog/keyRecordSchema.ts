import { z } from 'zod';
import type { KeyRecord } from '@parsleyhall/entry';

const reference = { key: z.string().min(1), attempt: z.string().min(1) };

/** Checks a record of a key partition. */
export const keyRecordSchema: z.ZodType<KeyRecord> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('start'), ...reference, requestFingerprint: z.string() }),
  z.object({ type: z.literal('notRun'), ...reference }),
  z.object({ type: z.literal('unknown'), ...reference }),
  z.object({
    type: z.literal('done'),
    ...reference,
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string().optional(),
  }),
]);
