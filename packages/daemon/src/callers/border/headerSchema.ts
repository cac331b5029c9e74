import { z } from 'zod';

const LONGEST_DEADLINE_MS = 86_400_000;

const tier = z.enum(['1', '2', '3', '4']);
const printable = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;

/** The headers that callers may set, as text. */
export const headerSchema = z.object({
  authorization: z.string().optional(),
  'x-team': z.string().optional(),
  'x-tier': tier.transform((value) => Number(value) as 1 | 2 | 3 | 4).optional(),
  'x-deadline-ms': z
    .string()
    .regex(/^[1-9]\d{0,8}$/, 'whole milliseconds')
    .transform(Number)
    .refine((value) => value <= LONGEST_DEADLINE_MS, `at most ${LONGEST_DEADLINE_MS}`)
    .optional(),
  'x-kind': z.string().max(128).regex(printable, 'printable text').optional(),
  'idempotency-key': z.string().max(256).regex(printable, 'printable text').optional(),
});
