import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { HeaderCodec } from '../requests/headerCodec.js';
import type { RequestTable } from '../requests/requestTable.js';
import type { Logger } from '../logging/logger.js';
import type { GracefulShutdown } from '../process/gracefulShutdown.js';
import type { StartQueue } from '../reading/startQueue.js';
import type { CallerLimits } from '../memory/callerLimits.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { canRespond } from './canRespond.js';
import type { CallerDismissal } from './callerDismissal.js';
import type { CallerObserver } from './callerObserver.js';
import { countRequestBytes } from './countRequestBytes.js';
import { discardRequest } from './discardRequest.js';
import { dismissCaller } from './dismissCaller.js';
import { readBody } from './readBody.js';
import { sendRefusal } from './sendRefusal.js';

/** Sent as Retry-After when this host's entry is shutting down; the retry goes to another entry. */
const RETRY_DURING_SHUTDOWN_MS = 100;

/** Creates the handler of callers' requests: reads each one completely and adds it to the table of open requests. */
export const createRequestHandler = ({
  codec,
  requests,
  shutdown,
  logger,
  getMaxBodyBytes,
  getEarliestArrivalAtMs,
  startQueue,
  memory,
  limits,
  observer,
}: {
  readonly codec: HeaderCodec;
  readonly requests: RequestTable;
  readonly shutdown: GracefulShutdown;
  readonly logger: Logger;
  readonly getMaxBodyBytes: () => number;
  /** The earliest moment at which what is being parsed now may have arrived, in milliseconds of the monotonic clock. */
  readonly getEarliestArrivalAtMs: (socket: Socket) => number;
  readonly startQueue: StartQueue;
  readonly memory: MemoryBudget;
  readonly limits: CallerLimits;
  readonly observer: CallerObserver;
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

  return (request, response) => {
    const readAtMs = performance.now();
    const earliestArrivalAtMs = getEarliestArrivalAtMs(request.socket);
    const account = memory.getAccount(request.socket);
    const refuse = (reason: CallerDismissal): void => {
      observer.reportDismissal(request, reason, dismissCaller(request.socket, reason));
    };
    readBody({
      request,
      account,
      maxBytes: getMaxBodyBytes(),
      timeoutMs: limits.bodyTimeoutMs,
      handleFailure: refuse,
      handleBody: (body) => {
        response.once('close', body.release);
        // A refused connection stays open for a while.
        account.setRelease(body.release);
        account.hold('body', body.capacity);
        startQueue.startOrEnqueue({
          request,
          response,
          earliestArrivalAtMs,
          start: () => {
            if (!canRespond(request, response)) {
              logRejection(request, 'connectionClosing');
            } else if (shutdown.isRefusingRequests()) {
              refuseDuringShutdown(request, response);
            } else if (account.admit(body.capacity + countRequestBytes(request))) {
              account.setRelease(() => undefined);
              requests.add({ request, response, body, readAtMs, earliestArrivalAtMs });
            } else if (account.isOpen()) {
              refuse('memoryShort');
              discardRequest(request);
              account.close();
            }
          },
          discard: () => {
            response.destroy();
            logRejection(request, 'callerGone');
          },
        });
      },
    });
  };
};
