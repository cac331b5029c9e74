import type { RoutingState } from '../routingState.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { mergeStatus } from './mergeStatus.js';
import type { RolloutStatus } from './rolloutStatus.js';

const markMissing = (state: RoutingState, statuses: readonly RolloutStatus[]): RoutingState => {
  const services = new Set(statuses.map(({ order }) => order.service));
  const byService = state.rollouts.byService.map((rollout, service) =>
    rollout.status === undefined || services.has(service)
      ? rollout
      : { ...rollout, isStoreBehind: true },
  );
  return { ...state, rollouts: { ...state.rollouts, byService } };
};

/** Takes over status records of the store. A snapshot has those of all services; one that it lacks was lost. */
export const mergeStoredStatuses = (
  state: RoutingState,
  statuses: readonly RolloutStatus[],
  isSnapshot: boolean,
  context: StepContext,
): StepResult =>
  runStepForEach(isSnapshot ? markMissing(state, statuses) : state, statuses, (next, status) =>
    mergeStatus(next, status, 'store', context),
  );
