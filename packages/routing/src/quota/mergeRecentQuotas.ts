import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { isQuotaWindowKnown } from './isQuotaWindowKnown.js';
import type { QuotaAccount } from './quotaAccount.js';
import type { RecentQuotas } from './recentQuotas.js';

// Dates each part at its end, so that no usage expires before its window has passed.
const toBuckets = (
  parts: readonly number[],
  nowMs: number,
  windowMs: number,
): QuotaAccount['buckets'] =>
  parts.map((used, index) => ({
    startMs: nowMs - (windowMs * (parts.length - index - 1)) / parts.length - 1,
    used,
  }));

/**
 * Adds the usage of the latest window, as known elsewhere, to the state of an entry that started within that window.
 */
export const mergeRecentQuotas = (
  state: RoutingState,
  recent: RecentQuotas,
  { settings, nowMs }: StepContext,
): RoutingState => {
  if (isQuotaWindowKnown(state, settings, nowMs)) {
    return state;
  }
  const { windowMs } = settings.quotas;
  let { quotaAccounts } = state;
  for (const [team, parts] of Object.entries(recent)) {
    const known = quotaAccounts.get(team);
    quotaAccounts = quotaAccounts.set(team, {
      buckets: [...toBuckets(parts, nowMs, windowMs), ...(known?.buckets ?? [])],
      usedHere: known?.usedHere ?? 0,
    });
  }
  return { ...state, quotaAccounts, quotasKnownSinceMs: nowMs - windowMs };
};
