import type { Metrics } from '@parsleyhall/metrics';
import type { TrafficCounter } from './trafficCounter.js';

const UNKNOWN_DATA_CENTRE = 'unknown';

/** Creates a counter of bytes by kind, direction and data centre. */
export const createTrafficCounter = (metrics: Metrics): TrafficCounter => {
  const counters = new Map<string, (amount: number) => void>();
  return ({ kind, direction, dataCentre = UNKNOWN_DATA_CENTRE }, bytes) => {
    const key = `${kind} ${direction} ${dataCentre}`;
    const known = counters.get(key);
    if (known !== undefined) {
      known(bytes);
      return;
    }
    const count = metrics.getCounter('traffic_bytes_total', { kind, direction, dataCentre });
    counters.set(key, count);
    count(bytes);
  };
};
