import type { RoutingState } from '../routingState.js';
import type { ListedTarget } from './listedTarget.js';
import type { TargetReport } from './targetReport.js';

/** What a target has reported about itself since its current start; undefined if nothing. */
export const getTargetReport = (
  { targetReports }: RoutingState,
  { id, startedAtMs }: ListedTarget,
): TargetReport | undefined => {
  const report = targetReports.get(id);
  return report?.startedAtMs === startedAtMs ? report : undefined;
};
