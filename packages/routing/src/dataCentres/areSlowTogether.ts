import type { Target } from '../targets/target.js';
import { isOverdueTarget } from './isOverdueTarget.js';

/** With fewer overdue targets, each is taken to be slow for a reason of its own. */
const MIN_OVERDUE_TARGETS = 2;
/** The share of the targets in use that are overdue if all are slow for the same reason. */
const OVERDUE_SHARE = 0.5;
/** The share of all targets that are overdue then; an entry may use few of many. */
const MIN_OVERDUE_SHARE_OF_ALL = 0.25;

/** Whether so many of the targets that this entry uses are overdue that the others are expected to be slow as well. */
export const areSlowTogether = (targets: readonly Target[], nowMs: number): boolean => {
  const overdue = targets.filter((target) => isOverdueTarget(target, nowMs)).length;
  const inUse = targets.filter(
    (target) => target.inFlight > 0 || isOverdueTarget(target, nowMs),
  ).length;
  return (
    overdue >= MIN_OVERDUE_TARGETS &&
    overdue >= OVERDUE_SHARE * inUse &&
    overdue >= MIN_OVERDUE_SHARE_OF_ALL * targets.length
  );
};
