import { toOptionalField } from '@parsleyhall/common';
import type { RoutingEffect, RoutingEvent } from '@parsleyhall/routing';
import type { Caller } from '../callers/caller.js';
import { createRelay } from '../callers/createRelay.js';
import { newArrival } from '../callers/newArrival.js';
import type { Relay } from '../callers/relay.js';
import { sendRefusal } from '../callers/sendRefusal.js';
import { createTargetCaller } from '../targets/createTargetCaller.js';
import type { Exchange } from '../targets/exchange.js';
import type { CallCodec } from './callCodec.js';
import type { CallTable } from './callTable.js';
import { createStreamSink } from './createStreamSink.js';
import { createWholeSink } from './createWholeSink.js';
import { selectHeaders } from './selectHeaders.js';
import type { SinkEvents } from './sinkEvents.js';

interface Call {
  readonly caller: Caller;
  readonly relay: Relay;
  exchange?: Exchange;
  sendId?: number;
}

type Send = Extract<RoutingEffect, { type: 'send' }>;

/** Creates an empty table. */
export const createCallTable = ({
  codec,
  dispatch,
  isClosing,
  tellLeft,
}: {
  readonly codec: CallCodec;
  readonly dispatch: (event: RoutingEvent) => void;
  /** Connections end with their answers. */
  readonly isClosing: () => boolean;
  /** The first byte of a send left so many milliseconds after the decision. */
  readonly tellLeft: (
    send: { readonly requestId: number; readonly sendId: number; readonly attemptId?: string },
    afterMs: number,
  ) => void;
}): CallTable => {
  const calls = new Map<number, Call>();
  const targetCaller = createTargetCaller();
  let nextRequestId = 1;

  const forget = (call: Call): void => {
    calls.delete(call.caller.requestId);
  };

  const endSend = (call: Call): void => {
    call.exchange?.cancel();
    delete call.exchange;
    delete call.sendId;
  };

  const end = (requestId: number): Call | undefined => {
    const call = calls.get(requestId);
    if (call !== undefined) {
      endSend(call);
      forget(call);
    }
    return call;
  };

  const newSinkEvents = (call: Call, { requestId, sendId }: Send): SinkEvents => {
    let isOver = false;
    return {
      began: (status, headers) => {
        const { attemptId, ...said } = codec.readAnswer(status, headers);
        const isForeign =
          attemptId !== call.caller.headers.attemptId || headers['content-encoding'] !== undefined;
        const head = { ...said, status, isForeign };
        dispatch({ type: 'answerBegan', requestId, sendId, head });
        return call.sendId === sendId;
      },
      wentOn: () => {
        dispatch({ type: 'answerWentOn', requestId, sendId });
      },
      ended: (events) => {
        isOver = true;
        forget(call);
        dispatch({ type: 'answerEnded', requestId, sendId, events });
      },
      failed: (failure) => {
        if (!isOver) {
          dispatch({ type: 'sendFailed', requestId, sendId, failure });
        }
      },
    };
  };

  const startExchange = (send: Send): void => {
    const call = calls.get(send.requestId);
    if (call === undefined) {
      return;
    }
    const {
      request,
      body,
      headers: { attemptId },
    } = call.caller;
    const { targetId, team, remainingMs } = send;
    const lastEventId = call.relay.getLastEventId();
    const events = newSinkEvents(call, send);
    const decidedMs = performance.now();
    call.sendId = send.sendId;
    call.exchange = targetCaller.call(
      {
        address: send.address,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: [
          ...selectHeaders(request.rawHeaders, codec.ownHeaders),
          ...codec.writeCall({
            remainingMs,
            targetId,
            ...(team === undefined ? {} : { team }),
            ...(lastEventId === undefined ? {} : { lastEventId }),
          }),
        ],
        body,
        noteLeft: () => {
          const { requestId, sendId } = send;
          const named = { requestId, sendId, ...toOptionalField('attemptId', attemptId) };
          tellLeft(named, performance.now() - decidedMs);
        },
      },
      send.isWhole
        ? createWholeSink(call.relay, events)
        : createStreamSink(call.relay, events, () => performance.now()),
    );
  };

  const watchCaller = (call: Call): void => {
    const { request, response, requestId } = call.caller;
    const { socket } = request;
    const leave = (): void => {
      if (calls.has(requestId)) {
        dispatch({ type: 'callerGone', requestId });
        end(requestId);
        response.destroy();
      }
    };
    socket.once('end', leave);
    response.once('close', () => {
      socket.removeListener('end', leave);
      leave();
    });
    response.on('drain', () => {
      call.exchange?.resume();
    });
  };

  return {
    take: ({ request, response, body, readMs, unreadSinceMs }) => {
      const requestId = nextRequestId;
      nextRequestId += 1;
      const headers = codec.readCall(request.headers);
      const caller: Caller = { requestId, request, response, headers, body };
      const call: Call = { caller, relay: createRelay(caller, isClosing) };
      calls.set(requestId, call);
      watchCaller(call);
      const arrival = newArrival({
        caller,
        unreadSinceMs,
        readMs,
        nowMs: performance.now(),
        random: Math.random(),
      });
      dispatch({ type: 'arrived', arrival });
    },
    startSend: startExchange,
    cancelSend: (requestId, sendId) => {
      const call = calls.get(requestId);
      if (call?.sendId === sendId) {
        endSend(call);
      }
    },
    answer: (requestId, refusal) => {
      const response = end(requestId)?.caller.response;
      if (response === undefined) {
        return;
      }
      response.shouldKeepAlive &&= !isClosing();
      sendRefusal(response, refusal);
    },
    breakOff: (requestId) => {
      end(requestId)?.caller.response.destroy();
    },
    [Symbol.asyncDispose]: () => targetCaller[Symbol.asyncDispose](),
  };
};
