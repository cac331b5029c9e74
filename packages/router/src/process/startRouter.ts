import type { IncomingMessage, ServerResponse } from 'node:http';
import { createMetrics } from '@parsleyhall/metrics';
import { newRoutingState, reduceRouting } from '@parsleyhall/routing';
import type { Refusal, RoutingEffect, RoutingEvent, RoutingState } from '@parsleyhall/routing';
import type { Caller } from '../callers/caller.js';
import { createCallersServer } from '../callers/createCallersServer.js';
import { createRelay } from '../callers/createRelay.js';
import { describeRefusal } from '../callers/describeRefusal.js';
import { readBody } from '../callers/readBody.js';
import type { Relay } from '../callers/relay.js';
import type { CallCodec } from '../calls/callCodec.js';
import { createStreamSink } from '../calls/createStreamSink.js';
import { createWholeSink } from '../calls/createWholeSink.js';
import { selectHeaders } from '../calls/selectHeaders.js';
import type { SinkEvents } from '../calls/sinkEvents.js';
import { startPeerLink } from '../peers/startPeerLink.js';
import { createTargetCaller } from '../targets/createTargetCaller.js';
import type { Exchange } from '../targets/exchange.js';
import { getClocks } from './getClocks.js';
import { newRoutingSettings } from './newRoutingSettings.js';
import type { PlatformLink } from './platformLink.js';
import { recordDecision } from './recordDecision.js';
import { registerRouterGauges } from './registerRouterGauges.js';
import type { RouterLogger } from './routerLogger.js';
import type { RouterSettings } from './routerSettings.js';
import type { RunningRouter } from './runningRouter.js';
import { startMetricsListener } from './startMetricsListener.js';
import { startReadiness } from './startReadiness.js';

const TICK_MS = 50;
/** From a stop's signal until no new connection is taken: the platform's checks notice within two periods. */
const STOP_LISTENING_AFTER_MS = 2_600;
/** Kept back of the time for a stop, for the process to end. */
const STOP_MARGIN_MS = 400;
/** When to come back to a host whose entry is stopping, at another entry, in milliseconds. */
const STOPPING_RETRY_MS = 100;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const STOP_CHECK_MS = 100;

interface Call {
  readonly caller: Caller;
  readonly relay: Relay;
  exchange?: Exchange;
  sendId?: number;
}

type Send = Extract<RoutingEffect, { type: 'send' }>;

/** Starts the process that takes callers, schedules their requests and calls the targets itself. */
export const startRouter = async ({
  settings,
  codec,
  logger,
  platform,
}: {
  readonly settings: RouterSettings;
  readonly codec: CallCodec;
  readonly logger: RouterLogger;
  readonly platform: PlatformLink;
}): Promise<RunningRouter> => {
  const calls = new Map<number, Call>();
  const metrics = createMetrics();
  const targetCaller = createTargetCaller();
  let nextRequestId = 1;
  let isStopping = false;
  /** Requests that come now could not be finished in time. */
  let isClosed = false;
  const incarnation = Date.now();
  let { stopWithinMs } = settings;
  let state: RoutingState = newRoutingState(
    newRoutingSettings(settings, incarnation),
    performance.now(),
  );
  const queue: RoutingEvent[] = [];
  let isRunning = false;

  const dispatch = (event: RoutingEvent): void => {
    queue.push(event);
    if (isRunning) {
      return;
    }
    isRunning = true;
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        const reduction = reduceRouting(state, { now: getClocks(), event: next });
        state = reduction.state;
        reduction.effects.forEach(runEffect);
      }
    } finally {
      isRunning = false;
    }
  };

  const forget = (call: Call): void => {
    calls.delete(call.caller.requestId);
  };

  const endCancelled = (call: Call): void => {
    call.exchange?.cancel();
    delete call.exchange;
    delete call.sendId;
  };

  const answer = (response: ServerResponse, refusal: Refusal): void => {
    const { status, headers, body } = describeRefusal(refusal);
    if (isStopping) {
      response.shouldKeepAlive = false;
    }
    response.writeHead(status, headers);
    response.end(body);
  };

  const newSinkEvents = (call: Call, { requestId, sendId }: Send): SinkEvents => {
    let isOver = false;
    return {
      began: (status, headers) => {
        const { attemptId, isSealed, isNotRun } = codec.readAnswer(status, headers);
        const isForeign =
          attemptId !== call.caller.headers.attemptId || headers['content-encoding'] !== undefined;
        const head = { status, isSealed, isNotRun, isForeign };
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
    const { request, body } = call.caller;
    const { targetId, team, remainingMs } = send;
    const lastEventId = call.relay.getLastEventId();
    const events = newSinkEvents(call, send);
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
      },
      send.isWhole
        ? createWholeSink(call.relay, events)
        : createStreamSink(call.relay, events, () => performance.now()),
    );
  };

  function runEffect(effect: RoutingEffect): void {
    switch (effect.type) {
      case 'send':
        startExchange(effect);
        return;
      case 'relay':
        return;
      case 'cancelSend': {
        const call = calls.get(effect.requestId);
        if (call?.sendId === effect.sendId) {
          endCancelled(call);
        }
        return;
      }
      case 'answer': {
        const call = calls.get(effect.requestId);
        if (call !== undefined) {
          endCancelled(call);
          forget(call);
          answer(call.caller.response, effect.refusal);
        }
        return;
      }
      case 'breakOff': {
        const call = calls.get(effect.requestId);
        if (call !== undefined) {
          endCancelled(call);
          forget(call);
          call.caller.response.destroy();
        }
        return;
      }
      case 'sendDigest':
        peers.send(effect.digest);
        return;
      case 'confirmConfiguration':
        platform.confirmConfiguration();
        return;
      case 'rememberQuotas':
        platform.rememberQuotas(effect.taken);
        return;
      case 'observe':
        recordDecision(metrics, effect.name, effect.fields);
        logger.info({ event: effect.name, ...describe(effect.fields) }, effect.name);
        return;
    }
  }

  const describe = (
    fields: Readonly<Record<string, string | number | boolean>>,
  ): Readonly<Record<string, string | number | boolean>> => {
    const call = typeof fields.requestId === 'number' ? calls.get(fields.requestId) : undefined;
    const attemptId = call?.caller.headers.attemptId;
    return attemptId === undefined ? fields : { ...fields, attemptId };
  };

  const watchCaller = (call: Call): void => {
    const { request, response, requestId } = call.caller;
    const { socket } = request;
    const leave = (): void => {
      if (calls.has(requestId)) {
        dispatch({ type: 'callerGone', requestId });
        endCancelled(call);
        forget(call);
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

  const takeCall = (
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    arrivedMs: number,
  ): void => {
    const requestId = nextRequestId;
    nextRequestId += 1;
    const headers = codec.readCall(request.headers);
    const caller: Caller = { requestId, request, response, headers, body };
    const call: Call = { caller, relay: createRelay(caller, () => isStopping) };
    calls.set(requestId, call);
    watchCaller(call);
    const { key, deadlineMs, promptTokens, maxOutputTokens, expectedOutputTokens, lastEventId } =
      headers;
    const elapsedMs = performance.now() - arrivedMs;
    dispatch({
      type: 'arrived',
      arrival: {
        requestId,
        host: request.headers.host ?? '',
        path: (request.url ?? '/').split('?')[0] ?? '/',
        random: Math.random(),
        ...(key === undefined ? {} : { key }),
        ...(deadlineMs === undefined ? {} : { deadlineMs: Math.max(1, deadlineMs - elapsedMs) }),
        ...(promptTokens === undefined ? {} : { promptTokens }),
        ...(maxOutputTokens === undefined ? {} : { maxOutputTokens }),
        ...(expectedOutputTokens === undefined ? {} : { expectedOutputTokens }),
        ...(lastEventId === undefined ? {} : { lastEventId }),
      },
    });
  };

  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const arrivedMs = performance.now();
    if (isClosed) {
      request.resume();
      answer(response, { status: 503, reason: 'stopping', retryAfterMs: STOPPING_RETRY_MS });
      return;
    }
    // A connection whose answer began before the stop was told that it would be kept.
    response.once('finish', () => {
      if (isStopping) {
        request.socket.end();
      }
    });
    const maxBytes = state.index?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    readBody(request, maxBytes, (body) => {
      if (body === undefined) {
        response.shouldKeepAlive = false;
        response.writeHead(413, { 'content-length': '0' });
        response.end();
        return;
      }
      takeCall(request, response, body, arrivedMs);
    });
  };

  registerRouterGauges(metrics, () => state);
  const metricsListener = await startMetricsListener(settings.metricsAddress, metrics);
  const callers = createCallersServer(handle);
  const peers = await startPeerLink({
    ip: settings.ip,
    port: settings.peerPort,
    takeDigest: (digest) => {
      dispatch({ type: 'digestReceived', digest });
    },
    noteFailure: (failure) => {
      logger.warn({ event: 'peerMessageRefused', failure }, 'peer message refused');
    },
    getNowMs: () => performance.now(),
  });
  peers.addAddresses(settings.peerAddresses);

  const isReady = (): boolean =>
    !isStopping && state.index !== undefined && !state.targets.isEmpty();

  const readiness = await startReadiness({
    address: settings.readinessAddress,
    path: settings.readinessPath,
    isReady,
  });
  const callersAddress = await callers.listen(settings.callersAddress);
  logger.info({ event: 'started', address: callersAddress }, 'started');

  platform.follow({
    takeConfiguration: (configuration) => {
      callers.setIdleTimeoutMs(configuration.limits.idleTimeoutMs);
      dispatch({ type: 'configurationRead', configuration });
    },
    takeConfirmation: (confirmed) => {
      dispatch({ type: 'configurationConfirmed', confirmed });
    },
    takeTargets: (targets) => {
      dispatch({ type: 'targetsListed', targets });
    },
    takeRecalledQuotas: (taken) => {
      dispatch({ type: 'quotasRecalled', taken });
    },
    takePeerAddresses: peers.addAddresses,
  });

  const ticking = setInterval(() => {
    dispatch({ type: 'ticked' });
  }, TICK_MS);

  let openStopped: () => void = () => undefined;
  const whenStopped = new Promise<void>((resolve) => {
    openStopped = resolve;
  });

  const requestStop = (): void => {
    if (isStopping) {
      return;
    }
    isStopping = true;
    const startMs = performance.now();
    logger.info({ event: 'stopping', open: callers.countOpen() }, 'stopping');
    dispatch({ type: 'leaving' });
    const checking = setInterval(() => {
      const elapsedMs = performance.now() - startMs;
      if (elapsedMs < STOP_LISTENING_AFTER_MS) {
        return;
      }
      if (!isClosed) {
        isClosed = true;
        callers.stopListening();
      }
      callers.closeIdle();
      if (callers.countOpen() === 0 || elapsedMs > stopWithinMs - STOP_MARGIN_MS) {
        clearInterval(checking);
        logger.info({ event: 'stopped', open: callers.countOpen() }, 'stopped');
        openStopped();
      }
    }, STOP_CHECK_MS);
  };

  return {
    callersAddress,
    readinessAddress: readiness.address,
    metricsAddress: metricsListener.address,
    applySettings: (changed) => {
      ({ stopWithinMs } = changed);
      peers.addAddresses(changed.peerAddresses);
      dispatch({ type: 'settingsRead', settings: newRoutingSettings(changed, incarnation) });
    },
    requestStop,
    whenStopped,
    [Symbol.asyncDispose]: async () => {
      clearInterval(ticking);
      await platform[Symbol.asyncDispose]();
      await readiness[Symbol.asyncDispose]();
      await metricsListener[Symbol.asyncDispose]();
      await callers[Symbol.asyncDispose]();
      await peers[Symbol.asyncDispose]();
      await targetCaller[Symbol.asyncDispose]();
    },
  };
};
