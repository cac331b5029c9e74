import type { RoutingState } from '../routingState.js';
import { getBaseAllowance } from './getBaseAllowance.js';
import { getQuotaUsed } from './getQuotaUsed.js';

/** How much of their quotas the teams have left now, as far as this entry knows. */
export const getQuotasLeft = (
  { index, quotaAccounts, settings }: RoutingState,
  nowMs: number,
): {
  /** The remaining share of the team that has the least left; 1 if no team has a quota. */
  readonly leastShare: number;
  readonly teamsWithout: number;
} => {
  const { windowMs } = settings.quotas;
  const shares = (index?.configuration.teams ?? []).flatMap(({ name, quota }) => {
    const account = quotaAccounts.get(name);
    return quota === undefined || quota.perSecond <= 0 || account === undefined
      ? []
      : [1 - getQuotaUsed(account, nowMs, windowMs) / getBaseAllowance(quota, windowMs)];
  });
  return {
    leastShare: shares.reduce((least, share) => Math.min(least, share), 1),
    teamsWithout: shares.filter((share) => share <= 0).length,
  };
};
