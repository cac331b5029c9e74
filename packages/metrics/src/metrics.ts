import type { MetricLabels } from './metricLabels.js';

/** The counters, gauges and summaries of a process. */
export interface Metrics {
  readonly increment: (name: string, labels?: MetricLabels, amount?: number) => void;
  /** Returns a function that adds to a counter at less cost than `increment`. */
  readonly getCounter: (name: string, labels: MetricLabels) => (amount: number) => void;
  /** Records a duration in milliseconds. */
  readonly recordMs: (name: string, labels: MetricLabels, durationMs: number) => void;
  /** Registers a gauge, whose value is read each time the metrics are formatted. */
  readonly registerGauge: (name: string, read: () => number) => void;
  /** Formats all series in the Prometheus text format. */
  readonly format: () => string;
  /** Returns the value of each counter by its series, written `name{label="value"}`. */
  readonly getCounters: () => Readonly<Record<string, number>>;
}
