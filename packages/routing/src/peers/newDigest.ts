import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';
import type { PeerDigest } from './peerDigest.js';

/** What this entry tells the others now. */
export const newDigest = (state: RoutingState, settings: RoutingSettings): PeerDigest => ({
  host: settings.host,
  incarnation: settings.incarnation,
  sequence: state.digestSequence,
  inFlight: Object.fromEntries(
    [...state.targets]
      .filter(([, { inFlight }]) => inFlight > 0)
      .map(([targetId, { inFlight }]) => [targetId, inFlight]),
  ),
  quotaTaken: Object.fromEntries(
    [...state.quotas].map(([team, { takenHere }]) => [team, takenHere]),
  ),
  isLeaving: state.isLeaving,
});
