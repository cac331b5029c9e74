import type { Histogram } from 'hdr-histogram-js';
import { formatSeries } from './formatSeries.js';
import type { MetricLabels } from './metricLabels.js';
import type { Metrics } from './metrics.js';
import { newDurationHistogram } from './newDurationHistogram.js';

const PREFIX = 'parsleyhall_';
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

const getBaseName = (series: string): string => series.split('{')[0] ?? series;

const formatType = (names: Iterable<string>, type: string): readonly string[] =>
  [...new Set(names)].map((name) => `# TYPE ${name} ${type}`);

/** Creates the metrics of a process, empty; names get the project's prefix. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, number>();
  const summaries = new Map<string, Summary>();
  const gauges = new Map<string, () => number>();

  const getSummary = (name: string, labels: MetricLabels): Summary => {
    const series = formatSeries(name, labels);
    const known = summaries.get(series);
    if (known !== undefined) {
      return known;
    }
    const added = { name, labels, histogram: newDurationHistogram(), sumMs: 0 };
    summaries.set(series, added);
    return added;
  };

  return {
    increment: (name, labels = NO_LABELS, amount = 1) => {
      const series = formatSeries(PREFIX + name, labels);
      counters.set(series, (counters.get(series) ?? 0) + amount);
    },
    recordMs: (name, labels, durationMs) => {
      const summary = getSummary(PREFIX + name, labels);
      summary.histogram.recordValue(Math.max(0, Math.round(durationMs)));
      summary.sumMs += Math.max(0, durationMs);
    },
    registerGauge: (name, read) => {
      gauges.set(PREFIX + name, read);
    },
    format: () =>
      [
        ...formatType([...counters.keys()].map(getBaseName), 'counter'),
        ...[...counters].map(([series, value]) => `${series} ${value}`),
        ...formatType(gauges.keys(), 'gauge'),
        ...[...gauges].map(([name, read]) => `${name} ${read()}`),
        ...formatType(
          [...summaries.values()].map(({ name }) => name),
          'summary',
        ),
        ...[...summaries.values()].flatMap(formatSummary),
        '',
      ].join('\n'),
    getCounters: () => Object.fromEntries(counters),
  };
};
