import { chargeQuota } from '../quota/chargeQuota.js';
import { learnQuotas } from '../quota/learnQuotas.js';
import { newQuotaAccount } from '../quota/newQuotaAccount.js';
import type { RoutingState } from '../routingState.js';
import { keep } from '../steps/keep.js';
import type { Outcome } from '../steps/outcome.js';
import type { Scope } from '../steps/scope.js';
import type { Peer } from './peer.js';
import type { PeerDigest } from './peerDigest.js';

const isOutdated = (known: PeerDigest, digest: PeerDigest): boolean =>
  digest.incarnation < known.incarnation ||
  (digest.incarnation === known.incarnation && digest.sequence <= known.sequence);

const chargeQuotas = (
  state: RoutingState,
  digest: PeerDigest,
  known: Peer | undefined,
  { settings, nowMs }: Scope,
): RoutingState['quotas'] => {
  const { windowMs } = settings.quotas;
  // What an entry took before it was first heard may lie long back and is left out.
  const before =
    known === undefined
      ? digest.quotaTaken
      : known.digest.incarnation === digest.incarnation
        ? known.digest.quotaTaken
        : {};
  let quotas = state.quotas;
  for (const [team, taken] of Object.entries(digest.quotaTaken)) {
    const amount = taken - (before[team] ?? 0);
    if (amount !== 0) {
      const account = quotas.get(team) ?? newQuotaAccount();
      quotas = quotas.set(team, chargeQuota({ account, amount, nowMs, windowMs }));
    }
  }
  return quotas;
};

/** Takes over what another entry says of itself and charges what it took of the teams' quotas. */
export const receiveDigest = (state: RoutingState, digest: PeerDigest, scope: Scope): Outcome => {
  const known = state.peers.get(digest.host);
  if (known !== undefined && isOutdated(known.digest, digest)) {
    return keep(state);
  }
  const learned =
    digest.knowsWindow && digest.tellsRecent
      ? learnQuotas(state, digest.quotaRecent, scope)
      : state;
  const heard = {
    ...learned,
    quotas: chargeQuotas(learned, digest, known, scope),
    peers: state.peers.set(digest.host, { digest, heardMs: scope.nowMs, isLost: false }),
  };
  return known?.isLost === false
    ? keep(heard)
    : keep(heard, { type: 'observe', name: 'peerHeard', fields: { peer: digest.host } });
};
