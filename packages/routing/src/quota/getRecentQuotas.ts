import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';
import type { QuotaAccount } from './quotaAccount.js';
import type { RecentQuotas } from './recentQuotas.js';

/** Number of equal parts of the window for which usage is reported. */
const PARTS_PER_WINDOW = 8;

const getUsageByPart = (
  account: QuotaAccount,
  windowMs: number,
  nowMs: number,
): readonly number[] => {
  const parts = Array.from({ length: PARTS_PER_WINDOW }, () => 0);
  for (const { startMs, used } of account.buckets) {
    const ageMs = nowMs - startMs;
    const part = PARTS_PER_WINDOW - 1 - Math.floor((ageMs * PARTS_PER_WINDOW) / windowMs);
    if (part >= 0) {
      parts[Math.min(part, PARTS_PER_WINDOW - 1)] =
        (parts[Math.min(part, PARTS_PER_WINDOW - 1)] ?? 0) + used;
    }
  }
  return parts;
};

/** The usage of all entries in the latest window, by team; teams without any are left out. */
export const getRecentQuotas = (
  { quotaAccounts }: RoutingState,
  { quotas: { windowMs } }: RoutingSettings,
  nowMs: number,
): RecentQuotas =>
  Object.fromEntries(
    [...quotaAccounts]
      .map(([team, account]) => [team, getUsageByPart(account, windowMs, nowMs)] as const)
      .filter(([, parts]) => parts.some((used) => used > 0)),
  );
