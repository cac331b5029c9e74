import type { LoadReport } from './loadReport.js';
import { WORK_TIME_DECAY_MS } from './workTimeDecayMs.js';

const PERCENT = 100;

/** The factor on the usual work time of a target now: the reported one, approaching 1 as the report ages. */
export const getWorkTimeFactor = (
  { workTimePercent, reportedAtMs }: LoadReport,
  nowMs: number,
): number => {
  const ageMs = Math.max(0, nowMs - reportedAtMs);
  return 1 + (workTimePercent / PERCENT - 1) * Math.exp(-ageMs / WORK_TIME_DECAY_MS);
};
