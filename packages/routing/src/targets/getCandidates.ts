import type { RoutingState } from '../routingState.js';
import type { Candidate } from './candidate.js';
import { isAcceptingWork } from './isAcceptingWork.js';

/** The targets of a service that accept new work, with the requests that all live entries have in flight there. */
export const getCandidates = (
  state: RoutingState,
  service: string,
  nowMs: number,
): readonly Candidate[] =>
  [...state.targets.values()]
    .filter(({ listed }) => listed.service === service && isAcceptingWork(state, listed, nowMs))
    .map((target) => ({
      target,
      totalInFlight: target.inFlight + (state.peerInFlight.get(target.listed.id) ?? 0),
    }));
