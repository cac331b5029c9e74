import type { RoutingState } from '../routingState.js';
import { getTargetStart } from '../targets/getTargetStart.js';

/** Subtracts a send from what this entry may send to a limited target. */
export const takeAllowance = (state: RoutingState, targetId: string): RoutingState => {
  const targetStart = getTargetStart(state, targetId);
  const limit = state.targetLimits.get(targetStart);
  if (limit?.perSecond === undefined) {
    return state;
  }
  const { allowance } = limit;
  const used = { ...limit, allowance: { ...allowance, sends: allowance.sends - 1 } };
  return { ...state, targetLimits: state.targetLimits.set(targetStart, used) };
};
