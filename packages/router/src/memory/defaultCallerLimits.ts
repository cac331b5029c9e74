import type { CallerLimits } from './callerLimits.js';

/** Limits for settings that name none; the host's memory is unknown then. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  bodyTimeoutMs: 60_000,
  unreadTimeoutMs: 10_000,
  maxConnections: 2_000,
};
