import type { RoutingState } from '../routingState.js';
import type { Peer } from './peer.js';
import type { PeerDigest } from './peerDigest.js';

const isOutdated = (known: PeerDigest, digest: PeerDigest): boolean =>
  digest.incarnation < known.incarnation ||
  (digest.incarnation === known.incarnation && digest.sequence <= known.sequence);

const chargeQuotas = (
  state: RoutingState,
  digest: PeerDigest,
  known: Peer | undefined,
): RoutingState['quotas'] => {
  const before =
    known?.digest.incarnation === digest.incarnation ? known.digest.quotaTaken : {};
  let quotas = state.quotas;
  for (const [team, taken] of Object.entries(digest.quotaTaken)) {
    const account = quotas.get(team);
    const added = taken - (before[team] ?? 0);
    if (account !== undefined && added !== 0) {
      quotas = quotas.set(team, { ...account, level: account.level - added });
    }
  }
  return quotas;
};

/** Takes over what another entry says of itself and charges what it took of the teams' quotas. */
export const receiveDigest = (
  state: RoutingState,
  digest: PeerDigest,
  nowMs: number,
): RoutingState => {
  const known = state.peers.get(digest.host);
  if (known !== undefined && isOutdated(known.digest, digest)) {
    return state;
  }
  return {
    ...state,
    quotas: chargeQuotas(state, digest, known),
    peers: state.peers.set(digest.host, { digest, heardMs: nowMs }),
  };
};
