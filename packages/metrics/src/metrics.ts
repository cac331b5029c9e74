import type { MetricLabels } from './metricLabels.js';

/** Counters, gauges and summaries of a process. */
export interface Metrics {
  readonly increment: (name: string, labels?: MetricLabels, amount?: number) => void;
  /** Records a duration in milliseconds. */
  readonly recordMs: (name: string, labels: MetricLabels, durationMs: number) => void;
  /** Registers a value that is read when the metrics are. */
  readonly registerGauge: (name: string, read: () => number) => void;
  /** All series in the Prometheus text format. */
  readonly format: () => string;
  /** Counters by name with their labels, as `name{label="value"}`. */
  readonly getCounters: () => Readonly<Record<string, number>>;
}
