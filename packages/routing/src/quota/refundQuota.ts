import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';

/** Refunds the quota cost of a request that has not run. */
export const refundQuota = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const { team, quotaCost } = request;
  const account = team === undefined ? undefined : state.quotaAccounts.get(team);
  const last = account?.buckets.at(-1);
  if (team === undefined || account === undefined || last === undefined || quotaCost === 0) {
    return state;
  }
  return {
    ...state,
    quotaAccounts: state.quotaAccounts.set(team, {
      buckets: [...account.buckets.slice(0, -1), { ...last, used: last.used - quotaCost }],
      usedHere: account.usedHere - quotaCost,
    }),
  };
};
