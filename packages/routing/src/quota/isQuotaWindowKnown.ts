import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';

/** Whether this entry knows all usage of the latest window. */
export const isQuotaWindowKnown = (
  { quotasKnownSinceMs }: RoutingState,
  { quotas }: RoutingSettings,
  nowMs: number,
): boolean => nowMs - quotasKnownSinceMs >= quotas.windowMs;
