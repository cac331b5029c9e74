import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';

/** Gives back what a request took that has not run. */
export const returnQuota = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const { team, quotaCost } = request;
  const account = team === undefined ? undefined : state.quotas.get(team);
  const last = account?.spans.at(-1);
  if (team === undefined || account === undefined || last === undefined || quotaCost === 0) {
    return state;
  }
  return {
    ...state,
    quotas: state.quotas.set(team, {
      spans: [...account.spans.slice(0, -1), { ...last, taken: last.taken - quotaCost }],
      takenHere: account.takenHere - quotaCost,
    }),
  };
};
