import type { RoutingState } from '../routingState.js';
import type { MemoryHold } from './memoryHold.js';

/**
 * The memory that is kept for a waiting request of the service; undefined if none is, or the request cannot be sent to that
 * target now.
 */
export const getMemoryHold = (
  { memoryHolds, waiting, targets }: RoutingState,
  service: string,
  nowMs: number,
): MemoryHold | undefined => {
  const hold = memoryHolds.get(service);
  if (hold === undefined || nowMs >= hold.untilMs) {
    return undefined;
  }
  const request = waiting.get(service)?.get(hold.requestId);
  const target = targets.get(hold.targetId);
  const isUsable =
    request !== undefined &&
    target !== undefined &&
    target.cooldownUntilMs <= nowMs &&
    !request.triedTargetIds.includes(hold.targetId);
  return isUsable ? hold : undefined;
};
