import type { PoolName, SideId } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryState } from '../entryState.js';
import type { EntryStep } from '../entryStep.js';
import { forEachRequest } from '../requests/forEachRequest.js';
import { dropReservation } from '../requests/dropReservation.js';
import { settleUnrun } from '../requests/settleUnrun.js';
import { updateLink } from './updateLink.js';

const leavePool = (state: EntryState, side: SideId, pool: PoolName | undefined): EntryState => {
  const poolState = pool === undefined ? undefined : state.pools.get(pool);
  if (pool === undefined || poolState === undefined) {
    return state;
  }
  const sides = poolState.sides.filter((other) => other !== side);
  return { ...state, pools: state.pools.set(pool, { ...poolState, sides }) };
};

/** Takes note of a broken connection: reservations there are gone, grants used there are in doubt. */
export const breakLink = (scope: EntryScope, step: EntryStep, side: SideId): EntryStep => {
  const link = step.state.sides.get(side);
  if (link?.isConnected !== true) {
    return step;
  }
  const closed = updateLink(step, side, {
    isConnected: false,
    greeting: undefined,
    digest: undefined,
  });
  const left: EntryStep = {
    state: leavePool(closed.state, side, link.greeting?.pool),
    effects: closed.effects,
  };
  const dropped = forEachRequest(left, link.reserved, (current, tracked) =>
    dropReservation(scope, current, tracked, side),
  );
  return forEachRequest(dropped, link.bound, (current, tracked) =>
    settleUnrun(scope, current, tracked, scope.decisions.settleBrokenGive(tracked)),
  );
};
