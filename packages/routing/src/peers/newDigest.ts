import { getRecentQuotas } from '../quota/getRecentQuotas.js';
import { knowsQuotaWindow } from '../quota/knowsQuotaWindow.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import type { PeerDigest } from './peerDigest.js';

/** What this entry tells the others now. */
export const newDigest = (state: RoutingState, { settings, nowMs }: Scope): PeerDigest => ({
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
  quotaRecent: getRecentQuotas(state, settings, nowMs),
  knowsWindow: knowsQuotaWindow(state, settings, nowMs),
  isLeaving: state.isLeaving,
});
