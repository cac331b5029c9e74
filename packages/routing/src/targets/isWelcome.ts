import type { RoutingState } from '../routingState.js';
import type { ListedTarget } from './listedTarget.js';

/** Whether a target takes new work of this entry, by the list and by what it said itself since its start. */
export const isWelcome = (
  { wishes }: RoutingState,
  { id, startedAtMs, isLeaving }: ListedTarget,
): boolean => {
  const wish = wishes.get(id);
  const holds = wish?.startedAtMs === startedAtMs;
  return !isLeaving && !(holds && wish?.isLeaving === true);
};
