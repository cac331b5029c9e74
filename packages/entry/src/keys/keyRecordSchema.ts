import { z } from 'zod';
import type { KeyRecord } from './keyRecord.js';

const text = z.string().min(1).max(256);
const owned = { key: text, attempt: text };

/** Checks and types a record of a key partition. */
export const keyRecordSchema: z.ZodType<KeyRecord> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('start'), ...owned, requestFingerprint: text }),
  z.object({ type: z.literal('notRun'), ...owned }),
  z.object({ type: z.literal('unknown'), ...owned }),
  z.object({
    type: z.literal('done'),
    ...owned,
    status: z.int().min(100).max(999),
    headers: z.record(z.string(), z.string()),
    body: z.base64().optional(),
  }),
]);
