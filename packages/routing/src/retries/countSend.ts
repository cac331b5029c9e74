import type { RetryCount } from './retryCount.js';

const SPAN_MS = 500;

/** Adds a request or a repeat to the counts of a service and forgets what is older than the window. */
export const countSend = ({
  counts,
  what,
  nowMs,
  windowMs,
}: {
  readonly counts: readonly RetryCount[];
  readonly what: 'request' | 'repeat';
  readonly nowMs: number;
  readonly windowMs: number;
}): readonly RetryCount[] => {
  const startMs = Math.floor(nowMs / SPAN_MS) * SPAN_MS;
  const kept = counts.filter((count) => count.startMs > nowMs - windowMs - SPAN_MS);
  const last = kept.at(-1);
  const current = last?.startMs === startMs ? last : { startMs, requests: 0, repeats: 0 };
  const added =
    what === 'request'
      ? { ...current, requests: current.requests + 1 }
      : { ...current, repeats: current.repeats + 1 };
  return [...kept.filter((count) => count.startMs !== startMs), added];
};
