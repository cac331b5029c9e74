import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { addOutcomeCounts } from './addOutcomeCounts.js';
import { getRunningRollout } from './getRunningRollout.js';
import { hasSeenOrder } from './hasSeenOrder.js';
import { isSameOrder } from './isSameOrder.js';
import { markJudgedBad } from './markJudgedBad.js';
import { mergeStatus } from './mergeStatus.js';
import { newOutcomeCounts } from './newOutcomeCounts.js';
import { putRollout } from './putRollout.js';
import type { Rollout } from './rollout.js';
import type { RolloutReport } from './rolloutReport.js';

/** Roll-outs end within this time after their deadline; a greater age is invalid. */
const MAX_OVERTIME_MS = 60_000;

/** An entry that has not seen the order takes its time from one that has, since the clocks of hosts differ. */
const getStartMs = (
  rollout: Rollout,
  { status, ageMs, isAgeObserved }: RolloutReport,
  nowMs: number,
): number => {
  const isValid = ageMs >= 0 && ageMs <= status.order.durationMs + MAX_OVERTIME_MS;
  return isAgeObserved === true && isValid && !hasSeenOrder(rollout)
    ? nowMs - ageMs
    : rollout.startedAtMs;
};

const mergeReport = (
  state: RoutingState,
  report: RolloutReport,
  source: string,
  nowMs: number,
): StepResult => {
  const { status, isJudgedBad, outcomes } = report;
  const { service } = status.order;
  const rollout = getRunningRollout(state, service);
  if (rollout === undefined || !isSameOrder(rollout.status.order, status.order)) {
    return createStepResult(state);
  }
  const startedAtMs = getStartMs(rollout, report, nowMs);
  const updated = putRollout(state, service, { ...rollout, startedAtMs });
  if (!isJudgedBad) {
    return createStepResult(updated);
  }
  const counts = Object.values(outcomes).reduce(addOutcomeCounts, newOutcomeCounts());
  return markJudgedBad(updated, service, { source, counts, nowMs });
};

/** Takes over what another entry reports about roll-outs. */
export const mergeReports = (
  state: RoutingState,
  reports: readonly RolloutReport[],
  source: string,
  context: StepContext,
): StepResult =>
  state.settings.rollouts === undefined
    ? createStepResult(state)
    : runStepForEach(state, reports, (next, report) =>
        chainStep(mergeStatus(next, report.status, 'peer', context), (current) =>
          mergeReport(current, report, source, context.nowMs),
        ),
      );
