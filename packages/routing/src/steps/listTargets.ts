import { Map } from 'immutable';
import type { RoutingState } from '../routingState.js';
import type { ListedTarget } from '../targets/listedTarget.js';
import { newTarget } from '../targets/newTarget.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { forEach } from './forEach.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** Takes over the list of targets; what was learned of those that stay is kept. */
export const listTargets = (
  state: RoutingState,
  targets: readonly ListedTarget[],
  scope: Scope,
): Outcome => {
  const next = Map(
    targets.map((listed) => {
      const known = state.targets.get(listed.id);
      const target = known === undefined ? newTarget(listed) : { ...known, listed };
      return [listed.id, target] as const;
    }),
  );
  return forEach({ ...state, targets: next }, state.waiting.keys(), (current, service) =>
    dispatchWaiting(current, service, scope),
  );
};
