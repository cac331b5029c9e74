import type { RoutingState } from '../routingState.js';
import { getNominalMs } from '../targets/getNominalMs.js';
import { getPace } from '../targets/getPace.js';
import { compareWaiting } from './compareWaiting.js';
import type { Ranked } from './ranked.js';
import { rankWaiting } from './rankWaiting.js';

/** What waits for the same service and is started before a request: how many, and their nominal run in milliseconds. */
export const getAhead = (
  state: RoutingState,
  own: Ranked,
  nowMs: number,
): { readonly count: number; readonly workMs: number } => {
  const { service, requestId } = own.request;
  const pace = getPace(state, service);
  const ahead = [...(state.waiting.get(service)?.values() ?? [])].filter(
    (other) =>
      other.requestId !== requestId && compareWaiting(rankWaiting(other, pace, nowMs), own) <= 0,
  );
  return {
    count: ahead.length,
    workMs: ahead.reduce((sum, other) => sum + getNominalMs(other, pace), 0),
  };
};
