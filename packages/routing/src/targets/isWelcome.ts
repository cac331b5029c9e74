import type { RoutingState } from '../routingState.js';
import { getWish } from './getWish.js';
import type { ListedTarget } from './listedTarget.js';

/** Whether a target takes new work of this entry now, by the list and by what it said itself. */
export const isWelcome = (state: RoutingState, listed: ListedTarget, nowMs: number): boolean => {
  const wish = getWish(state, listed);
  const isLeaving = listed.isLeaving || wish?.isLeaving === true;
  return !isLeaving && (wish === undefined || nowMs >= wish.refusesUntilMs);
};
