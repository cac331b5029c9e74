import { getWorkTimeFactor } from './getWorkTimeFactor.js';
import type { LoadReport } from './loadReport.js';
import { WORK_TIME_DECAY_MS } from './workTimeDecayMs.js';

/** The mean factor on the usual work time of a target over the coming time, in milliseconds; 1 without a report. */
export const getMeanWorkTimeFactor = (
  load: LoadReport | undefined,
  nowMs: number,
  overMs: number,
): number => {
  if (load === undefined) {
    return 1;
  }
  const deviation = getWorkTimeFactor(load, nowMs) - 1;
  if (overMs <= 0) {
    return 1 + deviation;
  }
  const decayTimes = overMs / WORK_TIME_DECAY_MS;
  return 1 + (deviation * (1 - Math.exp(-decayTimes))) / decayTimes;
};
