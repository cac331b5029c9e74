import type { RoutingState } from '../routingState.js';
import { getWish } from './getWish.js';

/** Milliseconds until the first target of the service takes work again that wants none now; undefined where there is none. */
export const getReturnMs = (
  state: RoutingState,
  service: string,
  nowMs: number,
): number | undefined => {
  const returns = [...state.targets.values()].flatMap(({ listed }) => {
    const wish = getWish(state, listed);
    const comesBack = listed.service === service && !listed.isLeaving && wish?.isLeaving === false;
    return comesBack ? [Math.max(0, wish.refusesUntilMs - nowMs)] : [];
  });
  return returns.length === 0 ? undefined : Math.min(...returns);
};
