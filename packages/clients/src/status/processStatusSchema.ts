import { z } from 'zod';
import type { ProcessStatus } from './processStatus.js';

const count = z.number().min(0);
const countByTier = z.tuple([count, count, count, count]);
const tier = z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]);

const target = z.object({
  runningRequests: count,
  windowRequests: count,
  prefillTokensAhead: count,
  waitingByTier: countByTier,
  runningByTier: countByTier,
  predictedWaitMsByTier: countByTier,
  lowestTierAdmitted: tier,
  takesLongPrefills: z.boolean(),
  isLeaving: z.boolean(),
});

/** Validates the response of `/status`; ignores unknown fields, so that processes of different versions can coexist. */
export const processStatusSchema: z.ZodType<ProcessStatus> = z.object({
  process: z.string(),
  role: z.enum(['entry', 'side']),
  host: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
  configurationVersion: count,
  presetInForce: z.string().optional(),
  isLeaving: z.boolean(),
  waitingByTier: countByTier,
  runningByTier: countByTier,
  windowRequests: count.optional(),
  shedding: z.object({ lowestTierAdmitted: tier, reason: z.string().optional() }),
  sides: z.array(
    z.object({
      side: z.string(),
      host: z.string(),
      dataCentre: z.string(),
      pool: z.string(),
      isConnected: z.boolean(),
      target: target.optional(),
    }),
  ),
  counters: z.record(z.string(), z.number()),
});
