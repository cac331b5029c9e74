import type { IncomingMessage } from 'node:http';
import type { Metrics } from '@parsleyhall/metrics';
import type { Logger } from '../logging/logger.js';
import type { HeaderCodec } from '../requests/headerCodec.js';
import type { CallerObserver } from './callerObserver.js';

/** Creates an observer that counts and logs the callers that exceeded a limit. */
export const createCallerObserver = ({
  codec,
  logger,
  metrics,
}: {
  readonly codec: HeaderCodec;
  readonly logger: Logger;
  readonly metrics: Metrics;
}): CallerObserver => {
  const logTurnedAway = (
    request: IncomingMessage | undefined,
    fields: { readonly reason: string; readonly status?: number },
  ): void => {
    const attemptId =
      request === undefined ? undefined : codec.readRequestHeaders(request.headers).attemptId;
    logger.write({
      name: 'callTurnedAway',
      fields: { ...fields, ...(attemptId === undefined ? {} : { attemptId }) },
    });
  };
  return {
    reportDismissal: (request, reason, status) => {
      metrics.increment('callers_dismissed_total', { reason });
      logTurnedAway(request, { reason, status });
    },
    reportDiscarded: (request) => {
      logTurnedAway(request, { reason: 'connectionClosing' });
    },
    reportClosed: (reason, heldBytes) => {
      metrics.increment('callers_closed_total', { reason });
      logger.write({ name: 'callerDisconnected', fields: { reason, heldBytes } });
    },
  };
};
