import type { Ranked } from '../queue/ranked.js';
import type { RoutingState } from '../routingState.js';
import { getNominalMs } from '../targets/getNominalMs.js';
import { getPace } from '../targets/getPace.js';
import { decayInflow } from './decayInflow.js';

/** Takes note of a request that was taken in. */
export const noteInflow = (
  state: RoutingState,
  { request, rank, lane }: Ranked,
  nowMs: number,
): RoutingState => {
  const { service } = request;
  const inflows = state.inflows.get(service) ?? [];
  const known = inflows.find((inflow) => inflow.rank === rank && inflow.lane === lane);
  const others = inflows.filter((inflow) => inflow !== known);
  const before = known ?? { rank, lane, slots: 0, atMs: nowMs };
  const nominalMs = getNominalMs(request, getPace(state, service));
  return {
    ...state,
    inflows: state.inflows.set(service, [...others, decayInflow(before, nowMs, nominalMs)]),
  };
};
