export { createMetrics } from './createMetrics.js';
export { newDurationHistogram } from './newDurationHistogram.js';
export { registerProcessGauges } from './registerProcessGauges.js';
export { toMetricName } from './toMetricName.js';
export type { MetricLabels } from './metricLabels.js';
export type { Metrics } from './metrics.js';
