import { isStream } from '../requests/isStream.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getUsableTimeMs } from '../targets/getUsableTimeMs.js';
import type { TargetPrediction } from '../targets/targetPrediction.js';
import { isFailing } from './isFailing.js';
import { isOverdueTarget } from './isOverdueTarget.js';

/** The share of an objective that is reserved for targets that take longer than predicted. */
const OBJECTIVE_MARGIN_SHARE = 0.15;
/** The longest gap of a stream, as a multiple of the mean gap. */
const LONGEST_GAP_FACTOR = 10;

const hasTolerableGaps = (
  { route, expectedOutputTokens }: TrackedRequest,
  { firstEventMs, durationMs }: TargetPrediction,
): boolean =>
  expectedOutputTokens === 0 ||
  (LONGEST_GAP_FACTOR * (durationMs - firstEventMs)) / expectedOutputTokens <=
    route.longestSilenceMs;

/**
 * Whether a target that gets the request after some time, in milliseconds, is predicted to meet the objective with a
 * margin and to complete the response in time.
 */
export const meetsObjective = (
  request: TrackedRequest,
  prediction: TargetPrediction,
  afterMs: number,
  nowMs: number,
): boolean => {
  const { candidate, firstEventMs, durationMs } = prediction;
  if (isFailing(candidate.target) || isOverdueTarget(candidate.target, nowMs)) {
    return false;
  }
  if (afterMs + durationMs > getUsableTimeMs(request, nowMs)) {
    return false;
  }
  const responseMs = isStream(request.route) ? firstEventMs : durationMs;
  const marginMs = OBJECTIVE_MARGIN_SHARE * request.route.objectiveMs;
  const isOnTime = nowMs + afterMs + responseMs + marginMs <= request.objectiveAtMs;
  return isOnTime && (!isStream(request.route) || hasTolerableGaps(request, prediction));
};
