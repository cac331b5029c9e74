import { isPeerAlive } from '../peers/isPeerAlive.js';
import { getPeerTimeoutMs } from '../peers/getPeerTimeoutMs.js';
import type { Peer } from '../peers/peer.js';
import type { RoutingState } from '../routingState.js';
import { getLeaseMs } from './getLeaseMs.js';
import { getLongestTimeoutMs } from './getLongestTimeoutMs.js';
import { MAX_UNHEARD_HOSTS } from './maxUnheardHosts.js';

/** Time for requests that were given up to be cancelled at their targets. */
const CANCEL_MARGIN_MS = 300;

/** An entry that some hear and others do not takes the news from those who hear it, and does not give up its requests. */
const isHeardBySome = ({ peers }: RoutingState, { digest }: Peer, nowMs: number): boolean =>
  peers.some(
    (peer) =>
      isPeerAlive(peer, nowMs) && peer.digest.rollouts?.unheard?.includes(digest.host) !== true,
  );

/**
 * How long silent entries may still have requests at the old targets of a service, in milliseconds since the stage in which
 * these are left: until the lease is over and they have noticed that they are unheard. If that is uncertain, until the
 * requests have timed out.
 */
export const getSilentWaitMs = (
  state: RoutingState,
  silent: readonly Peer[],
  {
    service,
    stageSinceMs,
    nowMs,
  }: { readonly service: string; readonly stageSinceMs: number; readonly nowMs: number },
): number => {
  const silentSinceMs = silent.map(({ lastHeardAtMs, timeoutMs }) => lastHeardAtMs + timeoutMs);
  const noticeMs = getPeerTimeoutMs(state.peers.size);
  const noticedAtMs = Math.max(...silentSinceMs) + noticeMs;
  const waitMs = Math.max(getLeaseMs(state), noticedAtMs - stageSinceMs) + CANCEL_MARGIN_MS;
  const isCertain =
    silent.length <= MAX_UNHEARD_HOSTS && !silent.some((peer) => isHeardBySome(state, peer, nowMs));
  return isCertain ? waitMs : waitMs + noticeMs + getLongestTimeoutMs(state, service);
};
