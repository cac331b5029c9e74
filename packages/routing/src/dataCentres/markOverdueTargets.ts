import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { updateTarget } from '../targets/updateTarget.js';

/** A response is overdue after this multiple of the time predicted for it, if that is longer than its objective. */
const OVERDUE_FACTOR = 2;

const getOverdueTargetId = ({ send, route }: TrackedRequest, nowMs: number): string | undefined => {
  if (send === undefined || send.firstByteAtMs !== undefined) {
    return undefined;
  }
  const overdueAfterMs = Math.max(route.objectiveMs, OVERDUE_FACTOR * send.predictedFirstMs);
  return nowMs - send.sentAtMs > overdueAfterMs ? send.targetId : undefined;
};

/**
 * Marks targets that have not begun a response within its objective, unless that was predicted. Their service times show
 * this only once a response is complete.
 */
export const markOverdueTargets = (
  state: RoutingState,
  { settings, nowMs }: StepContext,
): RoutingState => {
  if (settings.crossDataCentre === undefined) {
    return state;
  }
  const overdue = new Set<string>();
  for (const request of state.requests.values()) {
    const targetId = getOverdueTargetId(request, nowMs);
    if (targetId !== undefined) {
      overdue.add(targetId);
    }
  }
  return [...overdue].reduce(
    (current, targetId) =>
      updateTarget(current, targetId, (target) => ({ ...target, overdueAtMs: nowMs })),
    state,
  );
};
