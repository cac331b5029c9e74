import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallCodec } from '../calls/callCodec.js';
import type { CallTable } from '../calls/callTable.js';
import type { LineWriter } from '../lines/lineWriter.js';
import type { PlannedStop } from '../process/plannedStop.js';
import type { Intake } from '../reading/intake.js';
import type { ReadingWatch } from '../reading/readingWatch.js';
import { readBody } from './readBody.js';
import { sendRefusal } from './sendRefusal.js';

/** When to come back to a host whose entry is stopping, at another entry, in milliseconds. */
const STOPPING_RETRY_MS = 100;
const BODY_TOO_LARGE = 413;

/** Creates the handler of callers' requests: reads each whole and hands it over to the table of calls. */
export const createCallHandler = ({
  codec,
  calls,
  stop,
  lines,
  getMaxBodyBytes,
  reading,
  intake,
}: {
  readonly codec: CallCodec;
  readonly calls: CallTable;
  readonly stop: PlannedStop;
  readonly lines: LineWriter;
  readonly getMaxBodyBytes: () => number;
  readonly reading: ReadingWatch;
  readonly intake: Intake;
}): ((request: IncomingMessage, response: ServerResponse) => void) => {
  const tellTurnedAway = (request: IncomingMessage, reason: string, status?: number): void => {
    const { attemptId } = codec.readCall(request.headers);
    const fields = {
      reason,
      ...(status === undefined ? {} : { status }),
      ...(attemptId === undefined ? {} : { attemptId }),
    };
    lines.write({ name: 'callTurnedAway', fields });
  };

  const refuseAtStop = (request: IncomingMessage, response: ServerResponse): void => {
    request.resume();
    response.shouldKeepAlive = false;
    const refusal = { status: 503, reason: 'stopping', retryAfterMs: STOPPING_RETRY_MS } as const;
    sendRefusal(response, refusal);
    tellTurnedAway(request, refusal.reason, refusal.status);
  };

  const refuseBody = (request: IncomingMessage, response: ServerResponse): void => {
    response.shouldKeepAlive = false;
    response.writeHead(BODY_TOO_LARGE, { 'content-length': '0' });
    response.end();
    tellTurnedAway(request, 'bodyTooLarge', BODY_TOO_LARGE);
  };

  return (request, response) => {
    const readMs = performance.now();
    const unreadSinceMs = reading.getUnreadSinceMs(request.socket);
    if (stop.isClosed()) {
      refuseAtStop(request, response);
      return;
    }
    // A connection whose answer began before the stop was told that it would be kept.
    response.once('finish', () => {
      if (stop.isStopping()) {
        request.socket.end();
      }
    });
    readBody(request, getMaxBodyBytes(), (body) => {
      if (body === undefined) {
        refuseBody(request, response);
        return;
      }
      intake.take({
        request,
        response,
        unreadSinceMs,
        start: () => {
          calls.take({ request, response, body, readMs, unreadSinceMs });
        },
        drop: () => {
          response.destroy();
          tellTurnedAway(request, 'callerGone');
        },
      });
    });
  };
};
