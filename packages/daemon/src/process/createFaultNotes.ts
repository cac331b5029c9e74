import type { Metrics } from '@parsleyhall/metrics';
import type { FaultNotes } from './faultNotes.js';
import type { ProcessLogger } from './processLogger.js';
import { toError } from './toError.js';

/** Creates the notes of a process. */
export const createFaultNotes = (metrics: Metrics, logger: ProcessLogger): FaultNotes => ({
  noteLogFailure: (failure) => {
    if (failure.type === 'aborted') {
      return false;
    }
    metrics.increment('log_failures_total', { type: failure.type });
    logger.warn({ event: 'logFailed', failure }, 'the log gave no answer');
    return true;
  },
  noteHostListFailure: (failure) => {
    metrics.increment('host_list_failures_total');
    logger.warn({ event: 'hostListFailed', failure }, 'the list of hosts gave no answer');
  },
  noteMalformed: (fault, peer) => {
    metrics.increment('malformed_messages_total');
    logger.warn({ event: 'malformedMessage', peer, fault }, 'a peer sent no message');
  },
  noteEffectFailure: (type, error) => {
    metrics.increment('effect_failures_total', { type });
    logger.error({ event: 'effectFailed', type, err: toError(error) }, 'effect failed');
  },
  noteVerdict: ({ offset, verdict }) => {
    logger.debug({ event: 'configurationVerdict', offset, verdict }, 'configuration record');
  },
  noteInForce: ({ version, presetInForce }) => {
    logger.info({ event: 'configurationInForce', version, presetInForce }, 'in force');
  },
});
