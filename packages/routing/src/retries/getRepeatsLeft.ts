import type { RoutingState } from '../routingState.js';

/** The part of the allowance that is used, so that windows cut otherwise than these hold too. */
const MARGIN = 0.8;

/**
 * How many more repeats a service may get from this entry now; parts of one count for none. Each entry counts its own
 * requests, so the parts of all entries add up to the whole; only the fixed slack is divided by their number.
 */
export const getRepeatsLeft = (
  { peers, retryCounts, settings }: RoutingState,
  service: string,
  nowMs: number,
): number => {
  const { ratio, slack, windowMs } = settings.retries;
  const counts = retryCounts.get(service) ?? [];
  const recent = counts.filter(({ startMs }) => startMs > nowMs - windowMs);
  const requests = recent.reduce((sum, count) => sum + count.requests, 0);
  const repeats = recent.reduce((sum, count) => sum + count.repeats, 0);
  const entries = peers.size + 1;
  return MARGIN * (ratio * requests + slack / entries) - repeats;
};
