import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';

/** Whether all that was taken in the latest window is known here. */
export const knowsQuotaWindow = (
  { quotasKnownSinceMs }: RoutingState,
  { quotas }: RoutingSettings,
  nowMs: number,
): boolean => nowMs - quotasKnownSinceMs >= quotas.windowMs;
