import type { Metrics } from './metrics.js';

const MICROSECONDS_PER_SECOND = 1_000_000;

/** Registers gauges for the CPU seconds of the process since its start and for its resident memory in bytes. */
export const registerProcessGauges = (metrics: Metrics): void => {
  metrics.registerGauge(
    'process_user_cpu_seconds',
    () => process.cpuUsage().user / MICROSECONDS_PER_SECOND,
  );
  metrics.registerGauge(
    'process_system_cpu_seconds',
    () => process.cpuUsage().system / MICROSECONDS_PER_SECOND,
  );
  metrics.registerGauge('process_resident_memory_bytes', () => process.memoryUsage.rss());
};
