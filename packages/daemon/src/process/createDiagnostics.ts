import type { Metrics } from '@parsleyhall/metrics';
import type { Diagnostics } from './diagnostics.js';
import type { ProcessLogger } from './processLogger.js';
import { toError } from './toError.js';

/** Creates the diagnostics that write to a process's log and metrics. */
export const createDiagnostics = (metrics: Metrics, logger: ProcessLogger): Diagnostics => ({
  recordLogFailure: (failure) => {
    if (failure.type === 'aborted') {
      return false;
    }
    metrics.increment('log_failures_total', { type: failure.type });
    logger.warn({ event: 'logFailed', failure }, 'a log request failed');
    return true;
  },
  recordHostListFailure: (failure) => {
    metrics.increment('host_list_failures_total');
    logger.warn({ event: 'hostListFailed', failure }, 'a host list request failed');
  },
  recordMalformedMessage: (fault, peer) => {
    metrics.increment('malformed_messages_total');
    logger.warn({ event: 'malformedMessage', peer, fault }, 'a peer sent a malformed message');
  },
  recordPeerDisconnected: (peer) => {
    metrics.increment('peer_disconnects_total');
    logger.warn({ event: 'peerDisconnected', peer }, 'the stream to a peer was closed');
  },
  recordEffectFailure: (type, error) => {
    metrics.increment('effect_failures_total', { type });
    logger.error({ event: 'effectFailed', type, err: toError(error) }, 'an effect failed');
  },
  recordVerdict: ({ offset, verdict }) => {
    logger.debug({ event: 'configurationVerdict', offset, verdict }, 'configuration record read');
  },
  recordActiveConfiguration: ({ version, presetInForce }) => {
    logger.info(
      { event: 'configurationInForce', version, presetInForce },
      'configuration is now active',
    );
  },
});
