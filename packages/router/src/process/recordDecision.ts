import { toMetricName } from '@parsleyhall/metrics';
import type { MetricLabels, Metrics } from '@parsleyhall/metrics';

type Fields = Readonly<Record<string, string | number | boolean>>;

/** Fields with few values; teams and requests have too many for labels. */
const LABELS = ['service', 'tier', 'reason', 'status', 'failure', 'result'] as const;
/** Durations of an answered request, in milliseconds. */
const DURATIONS = ['waitedMs', 'firstMs', 'ageMs'] as const;

const getLabels = (fields: Fields): MetricLabels =>
  Object.fromEntries(
    LABELS.flatMap((label) => {
      const value = fields[label];
      return value === undefined ? [] : [[label, String(value)]];
    }),
  );

/** Counts a decision and, of an answered request, records how long it took. */
export const recordDecision = (metrics: Metrics, name: string, fields: Fields): void => {
  metrics.increment(`${toMetricName(name)}_total`, getLabels(fields));
  if (name !== 'requestAnswered') {
    return;
  }
  const { service = '', tier = '' } = fields;
  for (const duration of DURATIONS) {
    const value = fields[duration];
    if (typeof value === 'number') {
      metrics.recordMs(
        `request_${toMetricName(duration)}`,
        { service: String(service), tier: String(tier) },
        value,
      );
    }
  }
};
