import { z } from 'zod';

const MAX_DEADLINE_MS = 86_400_000;

const tier = z.enum(['1', '2', '3', '4']);
const PRINTABLE_TEXT = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;

/** Validates the request headers that callers may set. */
export const headerSchema = z.object({
  authorization: z.string().optional(),
  'x-team': z.string().optional(),
  'x-tier': tier.transform((value) => Number(value) as 1 | 2 | 3 | 4).optional(),
  'x-deadline-ms': z
    .string()
    .regex(/^[1-9]\d{0,8}$/, 'whole milliseconds')
    .transform(Number)
    .refine((value) => value <= MAX_DEADLINE_MS, `at most ${MAX_DEADLINE_MS}`)
    .optional(),
  'x-kind': z.string().max(128).regex(PRINTABLE_TEXT, 'printable text').optional(),
  'idempotency-key': z.string().max(256).regex(PRINTABLE_TEXT, 'printable text').optional(),
});
