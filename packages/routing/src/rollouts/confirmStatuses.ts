import type { ClockReading } from '../configuration/clockReading.js';
import type { RoutingState } from '../routingState.js';
import type { StoreRevision } from './storeRevision.js';

/** Records how far the status records were read, and when the store held nothing newer. */
export const confirmStatuses = (
  state: RoutingState,
  {
    confirmedAt,
    revision,
  }: { readonly confirmedAt: ClockReading; readonly revision: StoreRevision },
  nowMs: number,
): RoutingState => {
  const known = state.rollouts.revision;
  const hasChanged = known !== undefined && known.era !== revision.era;
  return {
    ...state,
    rollouts: {
      ...state.rollouts,
      ...(hasChanged ? { eraSinceMs: nowMs } : {}),
      revision,
      confirmedAtMs: confirmedAt.monotonicMs,
    },
  };
};
