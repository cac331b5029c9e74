import { toOptionalField } from '@parsleyhall/common';
import type { RoutingEffect, RoutingEvent } from '@parsleyhall/routing';
import type { Caller } from '../callers/caller.js';
import { createRelay } from '../callers/createRelay.js';
import { createArrival } from '../callers/createArrival.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import type { Relay } from '../callers/relay.js';
import { sendRefusal } from '../callers/sendRefusal.js';
import { hasFramingHeaders } from '../targets/hasFramingHeaders.js';
import { createTargetClient } from '../targets/createTargetClient.js';
import type { Exchange } from '../targets/exchange.js';
import type { TargetRequest } from '../targets/targetRequest.js';
import type { TrafficCounter } from '../traffic/trafficCounter.js';
import type { HeaderCodec } from './headerCodec.js';
import { matchRequest } from './matchRequest.js';
import type { RequestTable } from './requestTable.js';
import { createStreamingSink } from './createStreamingSink.js';
import { createBufferedSink } from './createBufferedSink.js';
import { createCountingSink } from './createCountingSink.js';
import { getMediaType } from './getMediaType.js';
import { getRequestBytes } from './getRequestBytes.js';
import { shortenForLog } from './shortenForLog.js';
import { selectForwardedHeaders } from './selectForwardedHeaders.js';
import type { SendReporter } from './sendReporter.js';

interface OpenRequest {
  readonly caller: Caller;
  readonly relay: Relay;
  exchange?: Exchange;
  sendId?: number;
}

type Send = Extract<RoutingEffect, { type: 'send' }>;

/** Creates an empty table of open requests. */
export const createRequestTable = ({
  codec,
  dispatch,
  countTraffic,
  isShuttingDown,
  reportSendDelay,
  memory,
}: {
  readonly codec: HeaderCodec;
  readonly dispatch: (event: RoutingEvent) => void;
  readonly countTraffic: TrafficCounter;
  /** Whether callers' connections are closed after their responses. */
  readonly isShuttingDown: () => boolean;
  /** Reports how many milliseconds after the decision to send the first byte was sent. */
  readonly reportSendDelay: (
    send: { readonly requestId: number; readonly sendId: number; readonly attemptId?: string },
    delayMs: number,
  ) => void;
  readonly memory: MemoryBudget;
}): RequestTable => {
  const openRequests = new Map<number, OpenRequest>();
  const targetClient = createTargetClient();
  let nextRequestId = 1;

  const remove = (openRequest: OpenRequest): void => {
    openRequests.delete(openRequest.caller.requestId);
  };

  const cancelCurrentSend = (openRequest: OpenRequest): void => {
    openRequest.exchange?.cancel();
    delete openRequest.exchange;
    delete openRequest.sendId;
  };

  const close = (requestId: number): OpenRequest | undefined => {
    const openRequest = openRequests.get(requestId);
    if (openRequest !== undefined) {
      cancelCurrentSend(openRequest);
      remove(openRequest);
    }
    return openRequest;
  };

  const createSendReporter = (
    openRequest: OpenRequest,
    { requestId, sendId }: Send,
  ): SendReporter => {
    let hasEnded = false;
    let isCommitted = false;
    return {
      reportHead: (status, headers) => {
        const { attemptId, ...targetStatements } = codec.readResponseHeaders(status, headers);
        const head = {
          ...targetStatements,
          status,
          requestMatch: matchRequest(openRequest.caller.headers.attemptId, attemptId),
          isConnectionNew: openRequest.exchange?.isConnectionNew ?? false,
          isBodyEncoded: headers['content-encoding'] !== undefined,
          isFramed: hasFramingHeaders(headers),
          ...toOptionalField('mediaType', shortenForLog(getMediaType(headers))),
        };
        dispatch({ type: 'responseHeadReceived', requestId, sendId, head });
        return openRequest.sendId === sendId;
      },
      reportStarted: () => {
        dispatch({ type: 'responseStarted', requestId, sendId });
      },
      reportProgress: () => {
        dispatch({ type: 'responseProgressed', requestId, sendId });
      },
      reportCommitted: () => {
        if (isCommitted) {
          return;
        }
        isCommitted = true;
        dispatch({ type: 'responseCommitted', requestId, sendId });
      },
      reportEnd: (events) => {
        hasEnded = true;
        remove(openRequest);
        const lastEventId = shortenForLog(openRequest.relay.getLastEventId());
        dispatch({
          type: 'responseEnded',
          requestId,
          sendId,
          events,
          ...toOptionalField('lastEventId', lastEventId),
        });
      },
      reportFailure: (failure, fault) => {
        if (!hasEnded) {
          dispatch({
            type: 'sendFailed',
            requestId,
            sendId,
            failure,
            ...toOptionalField('fault', fault),
          });
        }
      },
    };
  };

  const startExchange = (send: Send): void => {
    const openRequest = openRequests.get(send.requestId);
    if (openRequest === undefined) {
      return;
    }
    const {
      request,
      body,
      headers: { attemptId },
    } = openRequest.caller;
    const { targetId, team, remainingMs, dataCentre } = send;
    const { eventFormat } = codec;
    const lastEventId = openRequest.relay.getLastEventId();
    const reporter = createSendReporter(openRequest, send);
    const decidedAtMs = performance.now();
    openRequest.sendId = send.sendId;
    const targetRequest: TargetRequest = {
      address: send.address,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: [
        ...selectForwardedHeaders(request.rawHeaders, codec.reservedHeaders),
        ...codec.writeRequestHeaders({
          remainingMs,
          targetId,
          ...(team === undefined ? {} : { team }),
          ...(lastEventId === undefined ? {} : { lastEventId }),
        }),
      ],
      body,
      // Without ids, the responses to two requests on one connection cannot be distinguished.
      needsOwnConnection: attemptId === undefined,
      recordFirstByteSent: () => {
        const { requestId, sendId } = send;
        const sendIds = { requestId, sendId, ...toOptionalField('attemptId', attemptId) };
        reportSendDelay(sendIds, performance.now() - decidedAtMs);
        countTraffic(
          { kind: 'request', direction: 'sent', dataCentre },
          getRequestBytes(targetRequest),
        );
      },
    };
    const sink =
      // A response to HEAD has no events on any route.
      send.isBuffered || request.method === 'HEAD'
        ? createBufferedSink(openRequest.relay, reporter)
        : createStreamingSink(
            openRequest.relay,
            reporter,
            // A stream can be resumed only after an event with a number.
            { ...eventFormat, isNumbered: eventFormat.isNumbered || send.isResumable },
            () => performance.now(),
          );
    openRequest.exchange = targetClient.send(
      targetRequest,
      createCountingSink(sink, (bytes) => {
        countTraffic({ kind: 'response', direction: 'received', dataCentre }, bytes);
      }),
    );
  };

  const watchCaller = (openRequest: OpenRequest): void => {
    const { request, response, requestId } = openRequest.caller;
    const { socket } = request;
    const handleCallerGone = (): void => {
      if (openRequests.has(requestId)) {
        dispatch({ type: 'callerGone', requestId });
        close(requestId);
        response.destroy();
      }
    };
    socket.once('end', handleCallerGone);
    response.once('close', () => {
      socket.removeListener('end', handleCallerGone);
      handleCallerGone();
    });
    response.on('drain', () => {
      openRequest.exchange?.resume();
    });
  };

  return {
    add: ({ request, response, body, readAtMs, earliestArrivalAtMs }) => {
      const requestId = nextRequestId;
      nextRequestId += 1;
      const headers = codec.readRequestHeaders(request.headers);
      const caller: Caller = { requestId, request, response, headers, body };
      const relay = createRelay(caller, {
        isShuttingDown,
        memory,
        resumeReading: () => {
          openRequests.get(requestId)?.exchange?.resume();
        },
      });
      const openRequest: OpenRequest = { caller, relay };
      openRequests.set(requestId, openRequest);
      watchCaller(openRequest);
      const arrival = createArrival({
        caller,
        earliestArrivalAtMs,
        readAtMs,
        nowMs: performance.now(),
        random: Math.random(),
      });
      dispatch({ type: 'requestArrived', arrival });
    },
    startSend: startExchange,
    cancelSend: (requestId, sendId) => {
      const openRequest = openRequests.get(requestId);
      if (openRequest?.sendId === sendId) {
        cancelCurrentSend(openRequest);
      }
    },
    refuse: (requestId, refusal) => {
      const openRequest = close(requestId);
      if (openRequest === undefined) {
        return;
      }
      const { response } = openRequest.caller;
      if (response.headersSent) {
        openRequest.relay.breakOff();
        return;
      }
      response.shouldKeepAlive &&= !isShuttingDown();
      sendRefusal(response, refusal);
    },
    abort: (requestId) => {
      close(requestId)?.relay.breakOff();
    },
    [Symbol.asyncDispose]: () => targetClient[Symbol.asyncDispose](),
  };
};
