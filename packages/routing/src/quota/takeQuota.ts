import type { RoutedTeam } from '../configuration/routedTeam.js';
import { getQuotaShare } from '../peers/getQuotaShare.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { chargeQuota } from './chargeQuota.js';
import { getKnownQuotaShare } from './getKnownQuotaShare.js';
import { getQuotaAllowance } from './getQuotaAllowance.js';
import { getPlainQuota } from './getPlainQuota.js';
import { getQuotaCost } from './getQuotaCost.js';
import { getQuotaTaken } from './getQuotaTaken.js';
import { getQuotaWaitMs } from './getQuotaWaitMs.js';
import { newQuotaAccount } from './newQuotaAccount.js';

/**
 * The part of an allowance that may be taken within a part of its window, so that entries which all forgot what was
 * taken, as after a loss of power, find little of it near.
 */
const BURST_SHARE = 0.4;
const BURST_WINDOW_SHARE = 0.25;

interface TakenQuota {
  readonly state: RoutingState;
  readonly cost: number;
  /** Covered by what is tolerated beyond the quota alone. */
  readonly isBeyond: boolean;
  /** 0 where the quota covers the request. */
  readonly waitMs: number;
}

/** Takes a request off its team's quota, or says how long to wait, in milliseconds. */
export const takeQuota = (
  state: RoutingState,
  team: RoutedTeam | undefined,
  tokens: number | undefined,
  { settings, nowMs }: Scope,
): TakenQuota => {
  const { windowMs } = settings.quotas;
  const quota = team?.quota;
  if (team === undefined || quota === undefined || quota.perSecond <= 0) {
    return { state, cost: 0, isBeyond: false, waitMs: 0 };
  }
  const account = state.quotas.get(team.name) ?? newQuotaAccount();
  const cost = getQuotaCost(quota, tokens);
  const share = getQuotaShare([...state.peers.values()], nowMs);
  const knownShare = getKnownQuotaShare(state, settings, nowMs);
  const allowance = getQuotaAllowance(quota, settings.quotas) * share;
  const waitMs = Math.max(
    getQuotaWaitMs({ account, allowance: allowance * knownShare, cost, nowMs, windowMs }),
    getQuotaWaitMs({
      account,
      allowance: allowance * BURST_SHARE,
      cost,
      nowMs,
      windowMs: windowMs * BURST_WINDOW_SHARE,
    }),
  );
  if (waitMs > 0) {
    return { state, cost, isBeyond: true, waitMs };
  }
  const plain = getPlainQuota(quota, windowMs) * share;
  const isBeyond = getQuotaTaken(account, nowMs, windowMs) + cost > plain;
  const charged = chargeQuota({ account, amount: cost, nowMs, windowMs });
  const next = { ...charged, takenHere: charged.takenHere + cost };
  return {
    state: { ...state, quotas: state.quotas.set(team.name, next) },
    cost,
    isBeyond,
    waitMs: 0,
  };
};
