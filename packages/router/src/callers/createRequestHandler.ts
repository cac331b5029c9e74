import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeaderCodec } from '../requests/headerCodec.js';
import type { RequestTable } from '../requests/requestTable.js';
import type { Logger } from '../logging/logger.js';
import type { GracefulShutdown } from '../process/gracefulShutdown.js';
import type { StartQueue } from '../reading/startQueue.js';
import type { ReadDelayMonitor } from '../reading/readDelayMonitor.js';
import { canRespond } from './canRespond.js';
import { readBody } from './readBody.js';
import { sendRefusal } from './sendRefusal.js';

/** Sent as Retry-After when this host's entry is shutting down; the retry goes to another entry. */
const RETRY_DURING_SHUTDOWN_MS = 100;
const STATUS_BODY_TOO_LARGE = 413;

/** Creates the handler of callers' requests: reads each one completely and adds it to the table of open requests. */
export const createRequestHandler = ({
  codec,
  requests,
  shutdown,
  logger,
  getMaxBodyBytes,
  readDelayMonitor,
  startQueue,
}: {
  readonly codec: HeaderCodec;
  readonly requests: RequestTable;
  readonly shutdown: GracefulShutdown;
  readonly logger: Logger;
  readonly getMaxBodyBytes: () => number;
  readonly readDelayMonitor: ReadDelayMonitor;
  readonly startQueue: StartQueue;
}): ((request: IncomingMessage, response: ServerResponse) => void) => {
  const logRejection = (request: IncomingMessage, reason: string, status?: number): void => {
    const { attemptId } = codec.readRequestHeaders(request.headers);
    const fields = {
      reason,
      ...(status === undefined ? {} : { status }),
      ...(attemptId === undefined ? {} : { attemptId }),
    };
    logger.write({ name: 'callTurnedAway', fields });
  };

  const refuseDuringShutdown = (request: IncomingMessage, response: ServerResponse): void => {
    response.shouldKeepAlive = false;
    const refusal = {
      status: 503,
      reason: 'stopping',
      retryAfterMs: RETRY_DURING_SHUTDOWN_MS,
    } as const;
    sendRefusal(response, refusal);
    logRejection(request, refusal.reason, refusal.status);
  };

  const refuseOversizedBody = (request: IncomingMessage, response: ServerResponse): void => {
    response.shouldKeepAlive = false;
    response.writeHead(STATUS_BODY_TOO_LARGE, { 'content-length': '0' });
    response.end();
    logRejection(request, 'bodyTooLarge', STATUS_BODY_TOO_LARGE);
  };

  return (request, response) => {
    const readAtMs = performance.now();
    const earliestArrivalAtMs = readDelayMonitor.getEarliestArrivalAtMs(request.socket);
    readBody(request, getMaxBodyBytes(), (body) => {
      if (body === undefined) {
        refuseOversizedBody(request, response);
        return;
      }
      startQueue.startOrEnqueue({
        request,
        response,
        earliestArrivalAtMs,
        start: () => {
          if (!canRespond(request, response)) {
            logRejection(request, 'connectionClosing');
          } else if (shutdown.isRefusingRequests()) {
            refuseDuringShutdown(request, response);
          } else {
            requests.add({ request, response, body, readAtMs, earliestArrivalAtMs });
          }
        },
        discard: () => {
          response.destroy();
          logRejection(request, 'callerGone');
        },
      });
    });
  };
};
