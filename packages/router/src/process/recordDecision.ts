import { toMetricName } from '@parsleyhall/metrics';
import type { MetricLabels, Metrics } from '@parsleyhall/metrics';
import type { Observation } from '@parsleyhall/routing';

/** Fields that become metric labels because they have few values; teams and requests have too many. */
const LABEL_FIELDS = [
  'service',
  'tier',
  'reason',
  'status',
  'failure',
  'responseFault',
  'result',
  'placement',
  'stage',
] as const;
/** Durations of an answered request, in milliseconds. */
const DURATION_FIELDS = ['waitedMs', 'firstMs', 'longestGapMs', 'ageMs'] as const;

const getLabels = (fields: Observation['fields']): MetricLabels => {
  const valuesByField = new Map(Object.entries(fields));
  return Object.fromEntries(
    LABEL_FIELDS.flatMap((label) => {
      const value = valuesByField.get(label);
      return value === undefined ? [] : [[label, String(value)]];
    }),
  );
};

/** Counts a decision and records the durations of an answered request. */
export const recordDecision = (metrics: Metrics, { name, fields }: Observation): void => {
  metrics.increment(`${toMetricName(name)}_total`, getLabels(fields));
  if (name !== 'requestAnswered') {
    return;
  }
  const { service, tier } = fields;
  for (const duration of DURATION_FIELDS) {
    metrics.recordMs(
      `request_${toMetricName(duration)}`,
      { service, tier: String(tier) },
      fields[duration],
    );
  }
};
