import { z } from 'zod';

const count = z.number().int().min(0);
const positive = z.number().positive();

/**
 * Settings of the model engine stand-in. Durations of steps are in engine milliseconds, all others
 * in wall-clock milliseconds.
 */
export const engineSettingsSchema = z.strictObject({
  port: count.default(0),
  models: z.array(z.string()).default(['small']),
  seed: z.number().int().default(1),
  /** Engine milliseconds per wall-clock millisecond. */
  timeScale: positive.default(1),
  /** Speed of the engine relative to the default engine, whose factor is 1. */
  speedFactor: positive.default(1),
  stepBaseMs: positive.default(8),
  stepPerRunningMs: z.number().min(0).default(0.15),
  stepPerPrefillTokenMs: z.number().min(0).default(0.02),
  /** Maximum number of prefill tokens per step. */
  prefillChunkTokens: positive.default(256),
  maximumRunning: positive.default(64),
  keyValueTokens: positive.default(60_000),
  cacheTokens: count.default(20_000),
  /** Age of the reported load, in wall-clock milliseconds. */
  loadLagMs: z.number().min(0).default(500),
  cacheEventLagMs: z.number().min(0).default(500),
  /** Share of cache events that are lost. */
  cacheEventGapShare: z.number().min(0).max(1).default(0.1),
  /** How long a finished response can still be resumed, in wall-clock milliseconds. */
  answerRetentionMs: positive.default(60_000),
  /** Refuses orders whose fencing token is lower than the highest one seen. */
  checksFencing: z.boolean().default(false),
  weightStoreBytesPerSecond: positive.default(1_000_000_000),
});
