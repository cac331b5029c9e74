import { toOptionalField } from '@parsleyhall/common';
import type { Metrics } from '@parsleyhall/metrics';
import type { RoutingEvent } from '@parsleyhall/routing';
import type { CallersServer } from '../callers/callersServer.js';
import type { PeerLink } from '../peers/peerLink.js';
import type { TrafficCounter } from '../traffic/trafficCounter.js';
import type { RouterInputs } from './routerInputs.js';

/** Creates the functions that pass the platform's state to the scheduler and to the listeners. */
export const createRouterInputs = ({
  dispatch,
  callers,
  peers,
  countTraffic,
  metrics,
}: {
  readonly dispatch: (event: RoutingEvent) => void;
  readonly callers: CallersServer;
  readonly peers: PeerLink;
  readonly countTraffic: TrafficCounter;
  readonly metrics: Metrics;
}): RouterInputs => ({
  handleConfiguration: (configuration) => {
    callers.setIdleTimeoutMs(configuration.limits.idleTimeoutMs);
    dispatch({ type: 'configurationRead', configuration });
  },
  handleConfigurationConfirmed: (confirmedAt, version) => {
    dispatch({
      type: 'configurationConfirmed',
      confirmedAt,
      ...toOptionalField('version', version),
    });
  },
  handleTargets: (targets) => {
    dispatch({ type: 'targetsListed', targets });
  },
  handleTargetsConfirmed: () => {
    dispatch({ type: 'targetsConfirmed' });
  },
  handleRestoredQuotas: (taken) => {
    dispatch({ type: 'quotasRestored', usage: taken });
  },
  handleQuarantines: (quarantines) => {
    dispatch({ type: 'quarantinesRead', quarantines });
  },
  handleRolloutOrders: (orders, isSnapshot) => {
    dispatch({ type: 'rolloutOrdersRead', orders, isSnapshot });
  },
  handleRolloutStatuses: (statuses, isSnapshot) => {
    dispatch({ type: 'rolloutStatusesRead', statuses, isSnapshot });
  },
  handleRolloutStatusesConfirmed: (confirmedAt, revision) => {
    dispatch({ type: 'rolloutStatusesConfirmed', confirmedAt, revision });
  },
  handlePeerAddresses: peers.addAddresses,
  countStoreFault: (kind, topic) => {
    metrics.increment('store_faults_total', { kind, topic });
  },
  countStoreBytes: (direction, bytes) => {
    countTraffic({ kind: 'store', direction, dataCentre: undefined }, bytes);
  },
});
