import type { MetricLabels } from './metricLabels.js';

const escapeLabelValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

/** Formats the name and labels of a series in the Prometheus text format. */
export const formatSeries = (name: string, labels: MetricLabels): string => {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabelValue(value)}"`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
};
