import type { RoutingState } from '../routingState.js';
import { getTargetReport } from './getTargetReport.js';
import type { ListedTarget } from './listedTarget.js';

/** Whether a target accepts new work from this entry now, by the list of targets and by its own report. */
export const isAcceptingWork = (
  state: RoutingState,
  listed: ListedTarget,
  nowMs: number,
): boolean => {
  const report = getTargetReport(state, listed);
  const isLeaving = listed.isLeaving || report?.isLeaving === true;
  return !isLeaving && (report === undefined || nowMs >= report.refusesUntilMs);
};
