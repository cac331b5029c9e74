/** When a fault begins and ends, as shares of a run, and how strong it is. */
export const FAULT_TIMES = {
  from: 0.35,
  until: 0.6,
  burstFactor: 2.5,
  stragglerSpeedShare: 0.25,
  sideDownMs: 1_000,
  drainAllowanceMs: 3_000,
} as const;
