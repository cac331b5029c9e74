import type { Candidate } from '../targets/candidate.js';
import type { HomeSlots } from './homeSlots.js';
import { isFailing } from './isFailing.js';
import { isOverdueTarget } from './isOverdueTarget.js';

const getServiceTimeMs = ({ target }: Candidate, unknownMs: number): number =>
  target.serviceTimeMs ?? unknownMs;

/** The slots at home that a waiting request can count on; evaluated once for all waiting requests. */
export const getHomeSlots = (
  homeCandidates: readonly Candidate[],
  {
    free,
    unknownServiceTimeMs,
    nowMs,
  }: {
    readonly free: number;
    /** Assumed for targets whose service time is not known, in milliseconds. */
    readonly unknownServiceTimeMs: number;
    readonly nowMs: number;
  },
): HomeSlots => {
  const working = homeCandidates.filter(
    ({ target }) =>
      target.cooldownUntilMs <= nowMs && !isFailing(target) && !isOverdueTarget(target, nowMs),
  );
  const fastest = working.reduce<Candidate | undefined>(
    (best, next) =>
      best === undefined ||
      getServiceTimeMs(next, unknownServiceTimeMs) < getServiceTimeMs(best, unknownServiceTimeMs)
        ? next
        : best,
    undefined,
  );
  return { free, held: working.reduce((sum, { target }) => sum + target.inFlight, 0), fastest };
};
