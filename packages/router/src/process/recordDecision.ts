import { toMetricName } from '@parsleyhall/metrics';
import type { MetricLabels, Metrics } from '@parsleyhall/metrics';
import type { Observation } from '@parsleyhall/routing';

/** Fields with few values; teams and requests have too many for labels. */
const LABELS = ['service', 'tier', 'reason', 'status', 'failure', 'result'] as const;
/** Durations of an answered request, in milliseconds. */
const DURATIONS = ['waitedMs', 'firstMs', 'longestGapMs', 'ageMs'] as const;

const getLabels = (fields: Observation['fields']): MetricLabels => {
  const given = new Map(Object.entries(fields));
  return Object.fromEntries(
    LABELS.flatMap((label) => {
      const value = given.get(label);
      return value === undefined ? [] : [[label, String(value)]];
    }),
  );
};

/** Counts a decision and, of an answered request, records how long it took. */
export const recordDecision = (metrics: Metrics, { name, fields }: Observation): void => {
  metrics.increment(`${toMetricName(name)}_total`, getLabels(fields));
  if (name !== 'requestAnswered') {
    return;
  }
  const { service, tier } = fields;
  for (const duration of DURATIONS) {
    metrics.recordMs(
      `request_${toMetricName(duration)}`,
      { service, tier: String(tier) },
      fields[duration],
    );
  }
};
