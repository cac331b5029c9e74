import type { RoutedTeam } from '../configuration/routedTeam.js';
import { getQuotaShare } from '../peers/getQuotaShare.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { chargeQuota } from './chargeQuota.js';
import { getColdStartQuotaShare } from './getColdStartQuotaShare.js';
import { getQuotaAllowance } from './getQuotaAllowance.js';
import { getBaseAllowance } from './getBaseAllowance.js';
import { getQuotaCost } from './getQuotaCost.js';
import { getQuotaUsed } from './getQuotaUsed.js';
import { getQuotaWaitMs } from './getQuotaWaitMs.js';
import { newQuotaAccount } from './newQuotaAccount.js';

/**
 * The share of an allowance that may be used within a share of its window. It bounds the recent usage that is lost when
 * all entries lose their state at once, as after a power failure.
 */
const BURST_SHARE = 0.4;
const BURST_WINDOW_SHARE = 0.25;

interface QuotaDecision {
  readonly state: RoutingState;
  readonly cost: number;
  /** The request exceeds the quota itself and is admitted only within the overshoot tolerance. */
  readonly isBeyondQuota: boolean;
  /** Time until the request fits into the allowance; 0 if it was admitted. */
  readonly waitMs: number;
}

/** Charges a request to its team's quota, or returns the time to wait until it fits. */
export const consumeQuota = (
  state: RoutingState,
  team: RoutedTeam | undefined,
  tokens: number | undefined,
  { settings, nowMs }: StepContext,
): QuotaDecision => {
  const { windowMs } = settings.quotas;
  const quota = team?.quota;
  if (team === undefined || quota === undefined || quota.perSecond <= 0) {
    return { state, cost: 0, isBeyondQuota: false, waitMs: 0 };
  }
  const account = state.quotaAccounts.get(team.name) ?? newQuotaAccount();
  const cost = getQuotaCost(quota, tokens);
  const peerShare = getQuotaShare([...state.peers.values()], nowMs);
  const coldStartShare = getColdStartQuotaShare(state, settings, nowMs);
  const allowance = getQuotaAllowance(quota, settings.quotas) * peerShare;
  const waitMs = Math.max(
    getQuotaWaitMs({ account, allowance: allowance * coldStartShare, cost, nowMs, windowMs }),
    getQuotaWaitMs({
      account,
      allowance: allowance * BURST_SHARE,
      cost,
      nowMs,
      windowMs: windowMs * BURST_WINDOW_SHARE,
    }),
  );
  if (waitMs > 0) {
    return { state, cost, isBeyondQuota: true, waitMs };
  }
  const baseAllowance = getBaseAllowance(quota, windowMs) * peerShare;
  const isBeyondQuota = getQuotaUsed(account, nowMs, windowMs) + cost > baseAllowance;
  const charged = chargeQuota({ account, amount: cost, nowMs, windowMs });
  const next = { ...charged, usedHere: charged.usedHere + cost };
  return {
    state: { ...state, quotaAccounts: state.quotaAccounts.set(team.name, next) },
    cost,
    isBeyondQuota,
    waitMs: 0,
  };
};
