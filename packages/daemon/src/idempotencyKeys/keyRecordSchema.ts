import { z } from 'zod';
import type { KeyRecord } from '@parsleyhall/entry';

const attemptReference = { key: z.string().min(1), attempt: z.string().min(1) };

/** Validates a record in a partition of idempotency keys. */
export const keyRecordSchema: z.ZodType<KeyRecord> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('start'), ...attemptReference, requestFingerprint: z.string() }),
  z.object({ type: z.literal('notRun'), ...attemptReference }),
  z.object({ type: z.literal('unknown'), ...attemptReference }),
  z.object({
    type: z.literal('done'),
    ...attemptReference,
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string().optional(),
  }),
]);
