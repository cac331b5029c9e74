import type { RoutingState } from '../routingState.js';
import { getTargetStart } from '../targets/getTargetStart.js';

/** The sends that this entry may make to a target now by the target's limit; undefined if it has named none. */
export const getAllowedSends = (
  state: RoutingState,
  targetId: string,
):
  | {
      readonly now: number;
      /** Whether this entry has a share of the limit at all. */
      readonly hasShare: boolean;
    }
  | undefined => {
  if (state.targetLimits.isEmpty()) {
    return undefined;
  }
  const limit = state.targetLimits.get(getTargetStart(state, targetId));
  return limit?.perSecond === undefined
    ? undefined
    : { now: Math.floor(limit.allowance.sends), hasShare: limit.allowance.perSecond > 0 };
};
