import { toOptionalField } from '@parsleyhall/common';
import type { ResponseHead } from '../responseHead.js';
import type { Observation } from '../observations/observation.js';
import type { RoutingState } from '../routingState.js';
import { getTargetReport } from '../targets/getTargetReport.js';
import type { TargetReport } from '../targets/targetReport.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';

const getObservations = (
  target: string,
  service: string,
  previousReport: TargetReport | undefined,
  { isLeaving, refusesForMs }: ResponseHead,
): readonly Observation[] => [
  ...(isLeaving && previousReport?.isLeaving !== true
    ? [{ type: 'observe', name: 'targetLeaves', fields: { target, service } } as const]
    : []),
  ...(refusesForMs === undefined
    ? []
    : [
        {
          type: 'observe',
          name: 'targetRefuses',
          fields: { target, service, restMs: refusesForMs },
        } as const,
      ]),
];

/** Stores what a target reports about itself in the head of a response: that it is draining, or refuses requests. */
export const recordTargetReport = (
  state: RoutingState,
  targetId: string,
  head: ResponseHead,
  nowMs: number,
): StepResult => {
  const listed = state.targets.get(targetId)?.listed;
  const { isLeaving, refusesForMs } = head;
  if (listed === undefined || (!isLeaving && refusesForMs === undefined)) {
    return createStepResult(state);
  }
  const previousReport = getTargetReport(state, listed);
  const report: TargetReport = {
    ...toOptionalField('startedAtMs', listed.startedAtMs),
    isLeaving: isLeaving || previousReport?.isLeaving === true,
    refusesUntilMs: Math.max(previousReport?.refusesUntilMs ?? 0, nowMs + (refusesForMs ?? 0)),
    reportedAtMs: nowMs,
  };
  return createStepResult(
    { ...state, targetReports: state.targetReports.set(targetId, report) },
    ...getObservations(targetId, listed.service, previousReport, head),
  );
};
