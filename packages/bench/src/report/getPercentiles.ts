import { build } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;

interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Percentiles of times in milliseconds; zeros when there are none. */
export const getPercentiles = (timesMs: readonly number[]): Percentiles => {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const timeMs of timesMs) {
    histogram.recordValue(Math.max(0, Math.round(timeMs * MICROSECONDS_PER_MS)));
  }
  const at = (percentile: number): number =>
    timesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { count: timesMs.length, p50: at(50), p95: at(95), p99: at(99) };
};
