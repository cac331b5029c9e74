import { isPeerHeard } from '../peers/isPeerHeard.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from './candidate.js';
import { isWelcome } from './isWelcome.js';

/** The targets of a service that take new work, with what all entries that are heard have there. */
export const getCandidates = (
  state: RoutingState,
  service: string,
  nowMs: number,
): readonly Candidate[] => {
  const peers = [...state.peers.values()].filter((peer) => isPeerHeard(peer, nowMs));
  return [...state.targets.values()]
    .filter(({ listed }) => listed.service === service && isWelcome(state, listed, nowMs))
    .map((target) => ({
      target,
      totalInFlight: peers.reduce(
        (sum, { digest }) => sum + (digest.inFlight[target.listed.id] ?? 0),
        target.inFlight,
      ),
    }));
};
