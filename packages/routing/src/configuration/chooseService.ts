import type { Route } from './route.js';

/** Chooses one of the route's services at random by weight; `random` is in [0, 1). */
export const chooseService = (route: Route, random: number): string | undefined => {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random * total;
  for (const { service, weight } of route.destinations) {
    remainingWeight -= weight;
    if (remainingWeight < 0) {
      return service;
    }
  }
  return route.destinations.at(-1)?.service;
};
