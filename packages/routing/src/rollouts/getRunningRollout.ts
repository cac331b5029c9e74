import type { RoutingState } from '../routingState.js';
import { isTerminal } from './isTerminal.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** The roll-out of a service that has started and not ended; undefined if there is none. */
export const getRunningRollout = (
  { rollouts }: RoutingState,
  service: string,
): (Rollout & { readonly status: RolloutStatus }) | undefined => {
  const rollout = rollouts.byService.get(service);
  const status = rollout?.status;
  return rollout === undefined || status === undefined || isTerminal(status.stage)
    ? undefined
    : { ...rollout, status };
};
