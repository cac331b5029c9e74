import { isPeerHeard } from '../peers/isPeerHeard.js';
import type { RoutingState } from '../routingState.js';
import { keep } from '../steps/keep.js';
import type { Outcome } from '../steps/outcome.js';
import type { Scope } from '../steps/scope.js';
import { getRecentQuotas } from './getRecentQuotas.js';
import { knowsQuotaWindow } from './knowsQuotaWindow.js';

const PERIOD_MS = 1_000;

const isKeeper = (state: RoutingState, { settings, nowMs }: Scope): boolean =>
  [...state.peers.values()].every(
    (peer) =>
      !isPeerHeard(peer, nowMs) || peer.digest.isLeaving || settings.host < peer.digest.host,
  );

/**
 * Keeps what was taken outside of the entries, so that all of them may stop at once. The first by name of those that
 * hear one another does it for the rest.
 */
export const rememberQuotas = (state: RoutingState, scope: Scope): Outcome => {
  const { settings, nowMs } = scope;
  const isDue = nowMs - state.rememberedMs >= PERIOD_MS;
  if (!isDue || state.isLeaving || !knowsQuotaWindow(state, settings, nowMs)) {
    return keep(state);
  }
  const taken = getRecentQuotas(state, settings, nowMs);
  if (Object.keys(taken).length === 0 || !isKeeper(state, scope)) {
    return keep(state);
  }
  return keep({ ...state, rememberedMs: nowMs }, { type: 'rememberQuotas', taken });
};
