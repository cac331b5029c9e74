import { findCheapest } from '../targets/findCheapest.js';
import { hasFreeSlot } from '../targets/hasFreeSlot.js';
import type { TargetPrediction } from '../targets/targetPrediction.js';
import { chooseSpreadTarget } from './chooseSpreadTarget.js';
import { getCrossingCostMs } from './getCrossingCostMs.js';
import { isFailing } from './isFailing.js';
import { isOverdueTarget } from './isOverdueTarget.js';
import type { NearChoice } from './nearChoice.js';
import { newTargetChoice } from './newTargetChoice.js';
import { predictHomeWaitMs } from './predictHomeWaitMs.js';
import type { TargetChoice } from './targetChoice.js';

/** A late response leaves if it then takes at most this share of the time until it would be complete at home. */
const SUBSTANTIAL_GAIN_SHARE = 0.5;

const canBegin = ({ candidate: { target } }: TargetPrediction, nowMs: number): boolean =>
  !isFailing(target) && !isOverdueTarget(target, nowMs);

const getCostMs = ({ costMs }: TargetPrediction): number => costMs;

/**
 * Chooses a target for a request that misses its objective everywhere: at home, unless leaving is a substantial gain or
 * the caller would give up before a slot at home is free. Failing and overdue targets are left out if another data centre
 * has one that is neither. Returns undefined if the request waits.
 */
export const chooseLateTarget = (
  { request, locality, latencyModel, workAheadMs, nowMs }: NearChoice,
  allAtHome: readonly TargetPrediction[],
  /** Targets in other data centres that the request may be sent to now. */
  allRemote: readonly TargetPrediction[],
  /** Distinguishes the choices of this request from those of others. */
  key: string,
): TargetChoice | undefined => {
  const { dataCentre, policy } = locality;
  const working = allRemote.filter((prediction) => canBegin(prediction, nowMs));
  const isRemoteWorking = working.length > 0;
  const remote = isRemoteWorking ? working : allRemote;
  const usableAtHome = isRemoteWorking
    ? allAtHome.filter((prediction) => canBegin(prediction, nowMs))
    : allAtHome;
  const bestAtHome = findCheapest(usableAtHome.filter(hasFreeSlot), getCostMs);
  const bestRemote = chooseSpreadTarget(remote, key);
  if (bestRemote === undefined) {
    return newTargetChoice(bestAtHome, dataCentre, 'home');
  }
  const heldSlots = usableAtHome.reduce((sum, { candidate }) => sum + candidate.target.inFlight, 0);
  const waitMs = predictHomeWaitMs(heldSlots, latencyModel, workAheadMs);
  const fastestAtHome = findCheapest(usableAtHome, ({ durationMs }) => durationMs);
  const homeMs = bestAtHome?.durationMs ?? waitMs + (fastestAtHome?.durationMs ?? Infinity);
  const remoteMs = bestRemote.durationMs + getCrossingCostMs(request, policy);
  if (remoteMs <= SUBSTANTIAL_GAIN_SHARE * homeMs) {
    return newTargetChoice(bestRemote, dataCentre, 'faster');
  }
  const firstEventAtMs = nowMs + waitMs + (fastestAtHome?.firstEventMs ?? Infinity);
  const startsTooLate =
    bestAtHome === undefined && firstEventAtMs > request.responseStartDeadlineAtMs;
  return startsTooLate
    ? newTargetChoice(bestRemote, dataCentre, 'noRoom')
    : newTargetChoice(bestAtHome, dataCentre, 'home');
};
