import type { Metrics } from '@parsleyhall/metrics';
import type { RoutingEvent } from '@parsleyhall/routing';
import type { Logger } from '../logging/logger.js';
import { createUnreadableReporter } from '../peers/createUnreadableReporter.js';
import type { PeerLink } from '../peers/peerLink.js';
import { startPeerLink } from '../peers/startPeerLink.js';
import type { createTrafficCounter } from '../traffic/createTrafficCounter.js';
import type { RouterSettings } from './routerSettings.js';

/** Starts the exchange of digests with the other entries, and logs and counts what goes wrong with it. */
export const startRouterPeers = ({
  settings: { host, dataCentre, ip, peerPort },
  dispatch,
  logger,
  metrics,
  countTraffic,
}: {
  readonly settings: RouterSettings;
  readonly dispatch: (event: RoutingEvent) => void;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly countTraffic: ReturnType<typeof createTrafficCounter>;
}): Promise<PeerLink> => {
  const getNowMs = (): number => performance.now();
  const reportFailure = (detail: string): void => {
    logger.write({ name: 'peerMessageRefused', fields: { detail } });
  };
  return startPeerLink({
    host,
    dataCentre,
    ip,
    port: peerPort,
    handleDigest: (digest) => {
      dispatch({ type: 'digestReceived', digest });
    },
    reportUnreadable: createUnreadableReporter({
      count: (reason) => {
        metrics.increment('digests_unreadable_total', { reason });
      },
      log: reportFailure,
      getNowMs,
    }),
    reportSocketError: ({ message }) => {
      reportFailure(message);
    },
    countBytes: (direction, bytes, peerDataCentre) => {
      countTraffic({ kind: 'digest', direction, dataCentre: peerDataCentre }, bytes);
    },
    getNowMs,
  });
};
