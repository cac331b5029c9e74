import { getRecentQuotas } from '../quota/getRecentQuotas.js';
import { knowsQuotaWindow } from '../quota/knowsQuotaWindow.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { isPeerHeard } from './isPeerHeard.js';
import type { PeerDigest } from './peerDigest.js';

const isAnyNew = ({ peers }: RoutingState, nowMs: number): boolean =>
  [...peers.values()].some((peer) => !peer.digest.knowsWindow && isPeerHeard(peer, nowMs));

/** What this entry tells the others now. */
export const newDigest = (state: RoutingState, { settings, nowMs }: Scope): PeerDigest => {
  const tellsRecent = isAnyNew(state, nowMs);
  return {
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
    quotaRecent: tellsRecent ? getRecentQuotas(state, settings, nowMs) : {},
    tellsRecent,
    knowsWindow: knowsQuotaWindow(state, settings, nowMs),
    isLeaving: state.isLeaving,
  };
};
