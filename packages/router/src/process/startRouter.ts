import { createEventLoop } from '@parsleyhall/common';
import { createMetrics } from '@parsleyhall/metrics';
import { newRoutingState, reduceRouting } from '@parsleyhall/routing';
import type {
  RoutingEffect,
  RoutingEvent,
  RoutingState,
  TimestampedRoutingEvent,
} from '@parsleyhall/routing';
import { createRequestHandler } from '../callers/createRequestHandler.js';
import { createCallersServer } from '../callers/createCallersServer.js';
import { createCallerObserver } from '../callers/createCallerObserver.js';
import type { CallerLimits } from '../memory/callerLimits.js';
import { createCallerMemory } from '../memory/createCallerMemory.js';
import { DEFAULT_CALLER_LIMITS } from '../memory/defaultCallerLimits.js';
import type { HeaderCodec } from '../requests/headerCodec.js';
import { createRequestTable } from '../requests/createRequestTable.js';
import type { Logger } from '../logging/logger.js';
import { createStartQueue } from '../reading/createStartQueue.js';
import { createPacedReading } from '../reading/createPacedReading.js';
import { createReadDelayMonitor } from '../reading/createReadDelayMonitor.js';
import { loadTargetClient } from '../targets/loadTargetClient.js';
import { createTrafficCounter } from '../traffic/createTrafficCounter.js';
import { createGracefulShutdown } from './createGracefulShutdown.js';
import { getMaxBodyBytes } from './getMaxBodyBytes.js';
import { getMaxHeaderBytes } from './getMaxHeaderBytes.js';
import { getClocks } from './getClocks.js';
import { createRouterInputs } from './createRouterInputs.js';
import { createRoutingSettings } from './createRoutingSettings.js';
import { getRequestId } from './getRequestId.js';
import { keepRollouts } from './keepRollouts.js';
import type { PlatformLink } from './platformLink.js';
import { registerRouterGauges } from './registerRouterGauges.js';
import type { RouterSettings } from './routerSettings.js';
import type { RunningRouter } from './runningRouter.js';
import { runRoutingEffect } from './runRoutingEffect.js';
import { startMetricsServer } from './startMetricsServer.js';
import { startReadinessServer } from './startReadinessServer.js';
import { startRouterPeers } from './startRouterPeers.js';

const TICK_PERIOD_MS = 50;
/** A send whose first byte is sent later than this after the decision is logged. */
const LATE_SEND_MS = 100;

/** Starts a router: it reads callers' requests, schedules them and sends them to the targets. */
export const startRouter = async ({
  settings,
  codec,
  logger,
  platform,
}: {
  readonly settings: RouterSettings;
  readonly codec: HeaderCodec;
  readonly logger: Logger;
  readonly platform: PlatformLink;
}): Promise<RunningRouter> => {
  await loadTargetClient();
  const metrics = createMetrics();
  const limits: CallerLimits = { ...DEFAULT_CALLER_LIMITS, ...settings.callerLimits };
  const countTraffic = createTrafficCounter(metrics);
  const incarnation = Date.now();
  let { stopWithinMs } = settings;
  const routingLoop = createEventLoop<
    RoutingState,
    TimestampedRoutingEvent,
    RoutingEvent,
    RoutingEffect
  >({
    initialState: newRoutingState(createRoutingSettings(settings, incarnation), performance.now()),
    reduce: reduceRouting,
    stampEvent: (event) => ({ now: getClocks(), event }),
    runEffect: (effect) => {
      runRoutingEffect({ requests, peers, platform, metrics, logger }, effect);
    },
    toFailureEvent: ({ type }, error) => {
      logger.write({ name: 'effectFailed', fields: { type, detail: String(error) } });
      return undefined;
    },
    handleReducerError: (event, error) => {
      const { type } = event;
      metrics.increment('events_failed_total', { type });
      logger.write({ name: 'eventFailed', fields: { type, detail: String(error) } });
      const requestId = getRequestId(event);
      if (requestId !== undefined) {
        requests.abort(requestId);
      }
    },
  });
  const { dispatch, getState } = routingLoop;
  const shutdown = createGracefulShutdown({
    getCallers: () => callers,
    getTimeLimitMs: () => stopWithinMs,
    notifyPeers: () => {
      dispatch({ type: 'drainStarted' });
    },
    endOpenRequests: () => {
      dispatch({ type: 'drainTimeUp' });
    },
    logger,
  });

  const readMaxBodyBytes = (): number => getMaxBodyBytes(getState());
  const memory = createCallerMemory(limits, readMaxBodyBytes);
  const observer = createCallerObserver({ codec, logger, metrics });
  const requests = createRequestTable({
    memory,
    codec,
    dispatch,
    countTraffic,
    isShuttingDown: shutdown.isShuttingDown,
    reportSendDelay: (send, delayMs) => {
      metrics.recordMs('send_left_after_ms', {}, delayMs);
      if (delayMs > LATE_SEND_MS) {
        const fields = { ...send, afterMs: Math.round(delayMs) };
        logger.write({ name: 'sendLeftLate', fields });
      }
    },
  });

  const readDelayMonitor = createReadDelayMonitor({
    getNowMs: () => performance.now(),
    reportAcceptBacklog: (connections, waitedMs) => {
      const fields = { connections, waitedMs: Math.round(waitedMs) };
      logger.write({ name: 'connectionsWaited', fields });
    },
    reportEventLoopStall: (stalledMs) => {
      logger.write({ name: 'loopStalled', fields: { stalledMs: Math.round(stalledMs) } });
    },
  });
  const reading = createPacedReading({
    getNowMs: () => performance.now(),
    getEarliestArrivalAtMs: readDelayMonitor.getEarliestArrivalAtMs,
    holdUnparsedBytes: (socket, bytes) => {
      memory.getAccount(socket).hold('unparsed', bytes);
    },
    reportWait: (waitedMs) => {
      metrics.recordMs('callers_bytes_waited_ms', {}, waitedMs);
    },
  });
  const handleRequest = createRequestHandler({
    codec,
    requests,
    shutdown,
    logger,
    getEarliestArrivalAtMs: reading.getEarliestArrivalAtMs,
    startQueue: createStartQueue(readDelayMonitor, () => performance.now()),
    getMaxBodyBytes: readMaxBodyBytes,
    memory,
    limits,
    observer,
  });

  registerRouterGauges(metrics, getState, { memory, reading });
  const metricsServer = await startMetricsServer(settings.metricsAddress, metrics);
  const callers = createCallersServer({
    handle: handleRequest,
    recordConnection: readDelayMonitor.recordConnection,
    getMaxHeaderBytes: () => getMaxHeaderBytes(getState()),
    getMaxBodyBytes: readMaxBodyBytes,
    memory,
    reading,
    limits,
    observer,
  });
  const peers = await startRouterPeers({ settings, dispatch, logger, metrics, countTraffic });
  peers.addAddresses(settings.peerAddresses);

  const isReady = (): boolean =>
    !shutdown.isShuttingDown() &&
    getState().configurationConfirmedAt !== undefined &&
    !getState().targets.isEmpty() &&
    (getState().settings.rollouts === undefined || getState().rollouts.confirmedAtMs !== undefined);

  const readinessServer = await startReadinessServer({
    address: settings.readinessAddress,
    path: settings.readinessPath,
    isReady,
  });
  const callersAddress = await callers.listen(settings.callersAddress);
  logger.write({ name: 'started', fields: { address: callersAddress } });

  platform.follow(createRouterInputs({ dispatch, callers, peers, countTraffic, metrics }));

  const tickTimer = setInterval(() => {
    readDelayMonitor.recordTick();
    dispatch({ type: 'ticked' });
  }, TICK_PERIOD_MS);

  return {
    callersAddress,
    readinessAddress: readinessServer.address,
    metricsAddress: metricsServer.address,
    applySettings: (changed) => {
      ({ stopWithinMs } = changed);
      peers.addAddresses(changed.peerAddresses);
      const changedSettings = createRoutingSettings(changed, incarnation);
      dispatch({
        type: 'settingsRead',
        settings: keepRollouts(changedSettings, settings.rollouts),
      });
    },
    requestStop: shutdown.start,
    whenStopped: shutdown.whenStopped,
    [Symbol.asyncDispose]: async () => {
      clearInterval(tickTimer);
      await platform[Symbol.asyncDispose]();
      await readinessServer[Symbol.asyncDispose]();
      await metricsServer[Symbol.asyncDispose]();
      await callers[Symbol.asyncDispose]();
      await peers[Symbol.asyncDispose]();
      await requests[Symbol.asyncDispose]();
    },
  };
};
