import type { RoutingState } from '../routingState.js';
import { getTargetReport } from './getTargetReport.js';

/**
 * Time until the first target of the service that now refuses requests accepts them again; undefined if there is none.
 */
export const getAvailabilityDelayMs = (
  state: RoutingState,
  service: string,
  nowMs: number,
): number | undefined => {
  const delaysMs = [...state.targets.values()].flatMap(({ listed }) => {
    const report = getTargetReport(state, listed);
    const isTemporarilyRefusing =
      listed.service === service && !listed.isLeaving && report?.isLeaving === false;
    return isTemporarilyRefusing ? [Math.max(0, report.refusesUntilMs - nowMs)] : [];
  });
  return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
};
