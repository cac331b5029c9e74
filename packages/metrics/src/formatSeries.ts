import type { MetricLabels } from './metricLabels.js';

const escapeValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

/** Name and labels of a series as the Prometheus text format has them. */
export const formatSeries = (name: string, labels: MetricLabels): string => {
  const parts = Object.entries(labels).map(([key, value]) => `${key}="${escapeValue(value)}"`);
  return parts.length === 0 ? name : `${name}{${parts.join(',')}}`;
};
