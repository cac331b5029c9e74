import type { RoutingState } from '../routingState.js';
import type { ListedTarget } from './listedTarget.js';
import type { TargetWish } from './targetWish.js';

/** What a target said of itself since its start; undefined where it said nothing. */
export const getWish = (
  { wishes }: RoutingState,
  { id, startedAtMs }: ListedTarget,
): TargetWish | undefined => {
  const wish = wishes.get(id);
  return wish?.startedAtMs === startedAtMs ? wish : undefined;
};
