import type { RetryBucket } from './retryBucket.js';

/** Requests and retries within this span of time are counted in one bucket. */
const BUCKET_MS = 500;

/** Counts a request or a retry of a service and drops buckets older than the window. */
export const addToRetryBuckets = ({
  buckets,
  kind,
  nowMs,
  windowMs,
}: {
  readonly buckets: readonly RetryBucket[];
  readonly kind: 'request' | 'retry';
  readonly nowMs: number;
  readonly windowMs: number;
}): readonly RetryBucket[] => {
  const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
  const recent = buckets.filter((bucket) => bucket.startMs > nowMs - windowMs - BUCKET_MS);
  const last = recent.at(-1);
  const current = last?.startMs === startMs ? last : { startMs, requests: 0, retries: 0 };
  const added =
    kind === 'request'
      ? { ...current, requests: current.requests + 1 }
      : { ...current, retries: current.retries + 1 };
  return [...recent.filter((bucket) => bucket.startMs !== startMs), added];
};
