import type { PoolName } from '@parsleyhall/common';

/** Sizes and periods of the small world; times in milliseconds. */
export const WORLD_SETTINGS = {
  entries: 2,
  sides: 4,
  enginePool: 'model' as PoolName,
  servicePool: 'portal' as PoolName,
  model: 'surname',
  keyPartitions: 2,
  logRetentionMs: 1_800,
  clockToleranceMs: 100,
  heartbeatMs: 100,
  peerTimeoutMs: 400,
  grantLeaseMs: 200,
  settleAllowanceMs: 800,
  answerRetentionMs: 5_000,
  listPeriodMs: 200,
  tickMs: 40,
  /** Time before the first arrival or failure. */
  warmUpMs: 500,
  /** Lag of the platform's list. */
  listLagMs: 300,
  /** All arrivals and failures begin within this time. */
  scheduleMs: 2_400,
  longestFaultMs: 1_000,
  longestDeadlineMs: 1_500,
  wallClockAtStartMs: 1_800_000_000_000,
} as const;
