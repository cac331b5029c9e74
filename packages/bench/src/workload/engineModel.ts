/** What a step of the measured engines costs, in engine milliseconds at speed 1. */
export const ENGINE_MODEL = {
  stepBaseMs: 6,
  stepPerRunningMs: 0.15,
  stepPerPrefillTokenMs: 0.012,
  prefillChunkTokens: 800,
  maximumRunning: 32,
  keyValueTokens: 120_000,
  cacheTokens: 20_000,
} as const;
