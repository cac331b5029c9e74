import type { Histogram } from 'hdr-histogram-js';
import { formatSeries } from './formatSeries.js';
import type { MetricLabels } from './metricLabels.js';
import type { Metrics } from './metrics.js';
import { newDurationHistogram } from './newDurationHistogram.js';

const NAME_PREFIX = 'parsleyhall_';
const QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;
const PERCENT = 100;
const NO_LABELS: MetricLabels = {};

interface Summary {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly histogram: Histogram;
  sumMs: number;
}

const formatSummary = ({ name, labels, histogram, sumMs }: Summary): readonly string[] => [
  ...QUANTILES.map((quantile) => {
    const series = formatSeries(name, { ...labels, quantile: String(quantile) });
    return `${series} ${histogram.getValueAtPercentile(quantile * PERCENT)}`;
  }),
  `${formatSeries(`${name}_sum`, labels)} ${sumMs}`,
  `${formatSeries(`${name}_count`, labels)} ${histogram.totalCount}`,
];

const getMetricName = (series: string): string => series.split('{')[0] ?? series;

// The text format requires all series of one name to stand together, after the line that states their type.
const formatGroups = (
  type: string,
  lines: readonly { readonly name: string; readonly text: string }[],
): readonly string[] =>
  [...new Set(lines.map(({ name }) => name))].flatMap((name) => [
    `# TYPE ${name} ${type}`,
    ...lines.filter((line) => line.name === name).map(({ text }) => text),
  ]);

/** Creates an empty set of metrics for a process; adds the project's prefix to all names. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, number>();
  const summaries = new Map<string, Summary>();
  const gauges = new Map<string, () => number>();

  const getSummary = (name: string, labels: MetricLabels): Summary => {
    const series = formatSeries(name, labels);
    const existing = summaries.get(series);
    if (existing !== undefined) {
      return existing;
    }
    const created = { name, labels, histogram: newDurationHistogram(), sumMs: 0 };
    summaries.set(series, created);
    return created;
  };

  return {
    increment: (name, labels = NO_LABELS, amount = 1) => {
      const series = formatSeries(NAME_PREFIX + name, labels);
      counters.set(series, (counters.get(series) ?? 0) + amount);
    },
    getCounter: (name, labels) => {
      const series = formatSeries(NAME_PREFIX + name, labels);
      return (amount) => {
        counters.set(series, (counters.get(series) ?? 0) + amount);
      };
    },
    recordMs: (name, labels, durationMs) => {
      const summary = getSummary(NAME_PREFIX + name, labels);
      summary.histogram.recordValue(Math.max(0, Math.round(durationMs)));
      summary.sumMs += Math.max(0, durationMs);
    },
    registerGauge: (name, read) => {
      gauges.set(NAME_PREFIX + name, read);
    },
    format: () => {
      const counterLines = [...counters].map(([series, value]) => ({
        name: getMetricName(series),
        text: `${series} ${value}`,
      }));
      const gaugeLines = [...gauges].map(([name, read]) => ({ name, text: `${name} ${read()}` }));
      const summaryLines = [...summaries.values()].map((summary) => ({
        name: summary.name,
        text: formatSummary(summary).join('\n'),
      }));
      return [
        ...formatGroups('counter', counterLines),
        ...formatGroups('gauge', gaugeLines),
        ...formatGroups('summary', summaryLines),
        '',
      ].join('\n');
    },
    getCounters: () => Object.fromEntries(counters),
  };
};
