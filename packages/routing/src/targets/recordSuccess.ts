import { updateAverage } from './updateAverage.js';
import type { Target } from './target.js';

const SERVICE_TIME_WEIGHT = 0.25;
/** The weight of a success in the moving average of the failure share. */
const SUCCESS_WEIGHT = 0.1;
const MIN_SERVICE_TIME_MS = 0.1;

/** Records a complete response and its service time, and ends the target's cooldown. */
export const recordSuccess = (target: Target, serviceTimeMs: number): Target => ({
  ...target,
  serviceTimeMs: updateAverage(
    target.serviceTimeMs,
    Math.max(MIN_SERVICE_TIME_MS, serviceTimeMs),
    SERVICE_TIME_WEIGHT,
  ),
  failureShare: updateAverage(target.failureShare, 0, SUCCESS_WEIGHT),
  cooldownUntilMs: 0,
});
