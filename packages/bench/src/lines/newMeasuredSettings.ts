import type { RouterSettings } from '@parsleyhall/router';

/** Settings of a router on loopback that is alone. */
export const newMeasuredSettings = (): RouterSettings => ({
  host: 'measured',
  dataCentre: 'here',
  ip: '127.0.0.1',
  callersAddress: '127.0.0.1:0',
  readinessAddress: '127.0.0.1:0',
  readinessPath: '/ready',
  metricsAddress: '127.0.0.1:0',
  peerPort: 0,
  peerAddresses: [],
  retries: { ratio: 0.2, windowMs: 10_000, slack: 50 },
  quotas: { windowMs: 8_000, overshoot: 0, slack: 0 },
  longestUnconfirmedMs: 5_000,
  stopWithinMs: 8_000,
});
