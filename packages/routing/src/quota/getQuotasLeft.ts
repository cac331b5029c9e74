import type { RoutingState } from '../routingState.js';
import { getPlainQuota } from './getPlainQuota.js';
import { getQuotaTaken } from './getQuotaTaken.js';

/** How much of their quotas teams have left now, as this entry knows it. */
export const getQuotasLeft = (
  { index, quotas, settings }: RoutingState,
  nowMs: number,
): {
  /** Of the team that has least, as a part of its quota; 1 without quotas. */
  readonly leastShare: number;
  readonly teamsWithout: number;
} => {
  const { windowMs } = settings.quotas;
  const shares = (index?.configuration.teams ?? []).flatMap(({ name, quota }) => {
    const account = quotas.get(name);
    return quota === undefined || quota.perSecond <= 0 || account === undefined
      ? []
      : [1 - getQuotaTaken(account, nowMs, windowMs) / getPlainQuota(quota, windowMs)];
  });
  return {
    leastShare: shares.reduce((least, share) => Math.min(least, share), 1),
    teamsWithout: shares.filter((share) => share <= 0).length,
  };
};
