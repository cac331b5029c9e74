import { blend } from './blend.js';
import type { Target } from './target.js';

const FAILURE_WEIGHT = 0.2;
const SHORTEST_REST_MS = 250;
const LONGEST_REST_MS = 3_000;

/** Records a send that failed; the more of them lately, the longer the target rests. */
export const noteFailure = (target: Target, nowMs: number): Target => {
  const failureShare = blend(target.failureShare, 1, FAILURE_WEIGHT);
  const restMs = SHORTEST_REST_MS + failureShare * (LONGEST_REST_MS - SHORTEST_REST_MS);
  return { ...target, failureShare, restsUntilMs: nowMs + restMs };
};
