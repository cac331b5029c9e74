import { z } from 'zod';
import type { ReportRecord } from './reportRecord.js';

const count = z.int().min(0);
const counts = z.record(z.string(), count);

/** Validates a record of the report stream. */
export const reportRecordSchema: z.ZodType<ReportRecord> = z.object({
  type: z.literal('report'),
  entry: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  fromMs: z.number(),
  toMs: z.number(),
  configurationVersion: count,
  presetInForce: z.string(),
  rows: z.array(
    z.object({
      tier: z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]),
      team: z.string(),
      sent: count,
      inTime: count,
      late: count,
      notRunByReason: counts,
      deadlineExceeded: count,
      outcomeUnknown: count,
      failed: count,
      prefillTokens: count,
      wastedPrefillTokensByCause: counts,
      firstTokenHistogram: z.string().optional(),
    }),
  ),
});
