import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';
import { getQuotaTaken } from './getQuotaTaken.js';

/** What all entries took in the latest window, by team. */
export const getRecentQuotas = (
  { quotas }: RoutingState,
  { quotas: { windowMs } }: RoutingSettings,
  nowMs: number,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...quotas]
      .map(([team, account]) => [team, getQuotaTaken(account, nowMs, windowMs)] as const)
      .filter(([, taken]) => taken > 0),
  );
