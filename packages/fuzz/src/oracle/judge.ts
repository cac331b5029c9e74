import type { Schedule } from '../schedule/schedule.js';
import type { History } from '../world/history.js';
import { checkAnsweredInTime } from './checkAnsweredInTime.js';
import { checkConfigurationInForce } from './checkConfigurationInForce.js';
import { checkDispatchedAtMostOnce } from './checkDispatchedAtMostOnce.js';
import { checkLeavingTargets } from './checkLeavingTargets.js';
import { checkNonIdempotentAtMostOnce } from './checkNonIdempotentAtMostOnce.js';
import { checkNotRunIsTrue } from './checkNotRunIsTrue.js';
import { checkPlannedStops } from './checkPlannedStops.js';
import { checkRecovered } from './checkRecovered.js';
import { checkServesWhenCalm } from './checkServesWhenCalm.js';
import { checkSheddingOrder } from './checkSheddingOrder.js';
import { checkWholeOwnAnswer } from './checkWholeOwnAnswer.js';
import { observe } from './observe.js';
import type { Violation } from './violation.js';

const CHECKS = [
  checkDispatchedAtMostOnce,
  checkSheddingOrder,
  checkWholeOwnAnswer,
  checkRecovered,
  checkNotRunIsTrue,
  checkNonIdempotentAtMostOnce,
  checkLeavingTargets,
  checkPlannedStops,
  checkConfigurationInForce,
  checkAnsweredInTime,
  checkServesWhenCalm,
] as const;

/** Every promise that the run broke; nothing of the reducers' own bookkeeping is looked at. */
export const judge = (schedule: Schedule, history: History): readonly Violation[] => {
  const observation = observe(schedule, history);
  return CHECKS.flatMap((check) => check(observation));
};
