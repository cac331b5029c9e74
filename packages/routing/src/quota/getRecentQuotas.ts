import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';
import type { QuotaAccount } from './quotaAccount.js';
import type { RecentQuotas } from './recentQuotas.js';

const PARTS = 8;

const getParts = (account: QuotaAccount, windowMs: number, nowMs: number): readonly number[] => {
  const parts = Array.from({ length: PARTS }, () => 0);
  for (const { startMs, taken } of account.spans) {
    const ageMs = nowMs - startMs;
    const part = PARTS - 1 - Math.floor((ageMs * PARTS) / windowMs);
    if (part >= 0) {
      parts[Math.min(part, PARTS - 1)] = (parts[Math.min(part, PARTS - 1)] ?? 0) + taken;
    }
  }
  return parts;
};

/** What all entries took in the latest window. */
export const getRecentQuotas = (
  { quotas }: RoutingState,
  { quotas: { windowMs } }: RoutingSettings,
  nowMs: number,
): RecentQuotas =>
  Object.fromEntries(
    [...quotas]
      .map(([team, account]) => [team, getParts(account, windowMs, nowMs)] as const)
      .filter(([, parts]) => parts.some((taken) => taken > 0)),
  );
