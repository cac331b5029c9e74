import type { RoutingState } from '../routingState.js';

/** Counts a request that is sent to another data centre towards the current period. */
export const recordCrossing = (
  state: RoutingState,
  service: string,
  dataCentre: string,
): RoutingState => {
  const crossings = state.crossings.get(service);
  const crossing = crossings?.get(dataCentre);
  if (crossings === undefined || crossing === undefined) {
    return state;
  }
  const counted = crossings.set(dataCentre, { ...crossing, sent: crossing.sent + 1 });
  return { ...state, crossings: state.crossings.set(service, counted) };
};
