import type { Route } from './route.js';

/** One of the route's services, drawn by weight; `random` is from 0 to under 1. */
export const chooseService = (route: Route, random: number): string | undefined => {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random * total;
  for (const { service, weight } of route.destinations) {
    rest -= weight;
    if (rest < 0) {
      return service;
    }
  }
  return route.destinations.at(-1)?.service;
};
