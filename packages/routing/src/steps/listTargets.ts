import { Map } from 'immutable';
import type { Observation } from '../observations/observation.js';
import type { RoutingState } from '../routingState.js';
import type { ListedTarget } from '../targets/listedTarget.js';
import { newTarget } from '../targets/newTarget.js';
import type { Target } from '../targets/target.js';
import { andThen } from './andThen.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { forEach } from './forEach.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** What a target said holds so long after it was listed for the last time; entries come and go with outages of the list. */
const WISH_KEPT_MS = 600_000;

const isSame = (left: ListedTarget, right: ListedTarget | undefined): boolean =>
  left.service === right?.service &&
  left.startedAtMs === right.startedAtMs &&
  left.address === right.address &&
  left.isLeaving === right.isLeaving;

const describeChanges = (
  before: Map<string, Target>,
  after: Map<string, Target>,
): readonly Observation[] => [
  ...[...after.values()]
    .filter(({ listed }) => !isSame(listed, before.get(listed.id)?.listed))
    .map(({ listed: { id: target, service, address, isLeaving } }): Observation => {
      const fields = { target, service, address, isLeaving };
      return { type: 'observe', name: 'targetListed', fields };
    }),
  ...[...before.values()]
    .filter(({ listed }) => !after.has(listed.id))
    .map(({ listed: { id: target, service, address } }): Observation => {
      return { type: 'observe', name: 'targetGone', fields: { target, service, address } };
    }),
];

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
  const wishes = state.wishes.filter(
    ({ saidMs }, id) => next.has(id) || scope.nowMs - saidMs < WISH_KEPT_MS,
  );
  const changes = describeChanges(state.targets, next);
  const told = keep({ ...state, targets: next, wishes }, ...changes);
  return andThen(told, (listed) =>
    forEach(listed, listed.waiting.keys(), (current, service) =>
      dispatchWaiting(current, service, scope),
    ),
  );
};
