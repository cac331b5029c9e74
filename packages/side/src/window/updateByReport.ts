import type { WindowObservation } from './windowObservation.js';
import type { WindowState } from './windowState.js';

const FULL_KEY_VALUE_SHARE = 0.9;
const SHRINK = 0.9;

/** The window after a load report, which can only lower it: memory is nearly full or requests wait inside. */
export const updateByReport = (
  window: WindowState,
  { occupancy, nowMs }: WindowObservation,
  report: {
    readonly keyValueUsedShare: number;
    readonly waitingRequests: number;
    readonly ageMs: number;
  },
): WindowState => {
  const isFull = report.keyValueUsedShare > FULL_KEY_VALUE_SHARE || report.waitingRequests > 0;
  // A report from before the last change tells nothing about the window as it is now.
  const isStale = nowMs - report.ageMs <= window.changedAtMs;
  if (!isFull || isStale || occupancy.requests <= 1) {
    return window;
  }
  const share = Math.max(report.keyValueUsedShare, FULL_KEY_VALUE_SHARE);
  const capacityTokens = (occupancy.tokens / share) * FULL_KEY_VALUE_SHARE;
  const tokens = report.waitingRequests > 0 ? occupancy.tokens * SHRINK : capacityTokens;
  return {
    ...window,
    tokens: Math.min(window.tokens, Math.max(1, tokens)),
    isStarting: false,
    changedAtMs: nowMs,
  };
};
