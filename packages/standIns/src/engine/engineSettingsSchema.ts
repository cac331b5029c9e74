import { z } from 'zod';

const count = z.number().int().min(0);
const positive = z.number().positive();

/** Settings of the model engine stand-in; engine times in engine milliseconds, others in wall milliseconds. */
export const engineSettingsSchema = z.strictObject({
  port: count.default(0),
  models: z.array(z.string()).default(['small']),
  seed: z.number().int().default(1),
  /** Engine milliseconds that pass in one wall millisecond. */
  timeScale: positive.default(1),
  /** Speed relative to an engine of 1. */
  speedFactor: positive.default(1),
  stepBaseMs: positive.default(8),
  stepPerRunningMs: z.number().min(0).default(0.15),
  stepPerPrefillTokenMs: z.number().min(0).default(0.02),
  /** Prefill tokens computed in one step at most. */
  prefillChunkTokens: positive.default(256),
  maximumRunning: positive.default(64),
  keyValueTokens: positive.default(60_000),
  cacheTokens: count.default(20_000),
  /** Age of load reports, in wall milliseconds. */
  loadLagMs: z.number().min(0).default(500),
  cacheEventLagMs: z.number().min(0).default(500),
  /** Share of cache events that are lost. */
  cacheEventGapShare: z.number().min(0).max(1).default(0.1),
  /** Time that answers are remembered after their end, in wall milliseconds. */
  answerRetentionMs: positive.default(60_000),
  /** Refuses orders with a fencing number below the highest one seen. */
  checksFencing: z.boolean().default(false),
  weightStoreBytesPerSecond: positive.default(1_000_000_000),
});
