import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { getRunningRollout } from './getRunningRollout.js';
import { isReturn } from './isReturn.js';
import type { OutcomeCounts } from './outcomeCounts.js';
import { putRollout } from './putRollout.js';

/** Sends nothing more to a version that is being rolled out, because it is bad. */
export const markJudgedBad = (
  state: RoutingState,
  service: string,
  {
    source,
    counts,
    nowMs,
  }: {
    /** Host of the entry that judged so. */
    readonly source: string;
    readonly counts: OutcomeCounts;
    readonly nowMs: number;
  },
): StepResult => {
  const rollout = getRunningRollout(state, service);
  if (rollout === undefined || rollout.isJudgedBad || isReturn(rollout.status)) {
    return createStepResult(state);
  }
  return createStepResult(
    { ...putRollout(state, service, { ...rollout, isJudgedBad: true }), digestSentAtMs: -Infinity },
    {
      type: 'observe',
      name: 'rolloutJudgedBad',
      fields: {
        service,
        targetVersion: rollout.status.order.version,
        source,
        ageMs: Math.round(nowMs - rollout.startedAtMs),
        ...counts,
      },
    },
  );
};
