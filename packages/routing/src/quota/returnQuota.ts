import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';

/** Gives back what a request took that has not run. */
export const returnQuota = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const { team, quotaCost } = request;
  const account = team === undefined ? undefined : state.quotas.get(team);
  if (team === undefined || account === undefined || quotaCost === 0) {
    return state;
  }
  return {
    ...state,
    quotas: state.quotas.set(team, {
      ...account,
      level: account.level + quotaCost,
      takenHere: account.takenHere - quotaCost,
    }),
  };
};
