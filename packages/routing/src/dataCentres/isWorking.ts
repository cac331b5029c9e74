import type { Candidate } from '../targets/candidate.js';
import { isFailing } from './isFailing.js';

/**
 * Whether a target is expected to serve requests, if not at once: its sends do not fail. A target that rejects some while
 * it has others in flight is only full.
 */
export const isWorking = ({ target, totalInFlight }: Candidate, nowMs: number): boolean => {
  const isFull = target.isRejecting === true && totalInFlight > 0;
  return isFull || (target.cooldownUntilMs <= nowMs && !isFailing(target));
};
