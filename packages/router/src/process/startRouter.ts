import { createEventLoop } from '@parsleyhall/common';
import { createMetrics } from '@parsleyhall/metrics';
import { newRoutingState, reduceRouting } from '@parsleyhall/routing';
import type {
  RoutingEffect,
  RoutingEvent,
  RoutingState,
  StampedRoutingEvent,
} from '@parsleyhall/routing';
import { createCallHandler } from '../callers/createCallHandler.js';
import { createCallersServer } from '../callers/createCallersServer.js';
import type { CallCodec } from '../calls/callCodec.js';
import { createCallTable } from '../calls/createCallTable.js';
import type { LineWriter } from '../lines/lineWriter.js';
import { startPeerLink } from '../peers/startPeerLink.js';
import { createIntake } from '../reading/createIntake.js';
import { createReadingWatch } from '../reading/createReadingWatch.js';
import { createPlannedStop } from './createPlannedStop.js';
import { getClocks } from './getClocks.js';
import { newRoutingSettings } from './newRoutingSettings.js';
import type { PlatformLink } from './platformLink.js';
import { recordDecision } from './recordDecision.js';
import { registerRouterGauges } from './registerRouterGauges.js';
import type { RouterSettings } from './routerSettings.js';
import type { RunningRouter } from './runningRouter.js';
import { startMetricsListener } from './startMetricsListener.js';
import { startReadiness } from './startReadiness.js';

const TICK_MS = 50;
/** A send whose first byte leaves later gets a line. */
const LEFT_LATE_MS = 100;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Starts the process that takes callers, schedules their requests and calls the targets itself. */
export const startRouter = async ({
  settings,
  codec,
  lines,
  platform,
}: {
  readonly settings: RouterSettings;
  readonly codec: CallCodec;
  readonly lines: LineWriter;
  readonly platform: PlatformLink;
}): Promise<RunningRouter> => {
  const metrics = createMetrics();
  const incarnation = Date.now();
  let { stopWithinMs } = settings;
  const loop = createEventLoop<RoutingState, StampedRoutingEvent, RoutingEvent, RoutingEffect>({
    initialState: newRoutingState(newRoutingSettings(settings, incarnation), performance.now()),
    reduce: reduceRouting,
    stampEvent: (event) => ({ now: getClocks(), event }),
    runEffect,
    toFailureEvent: ({ type }, error) => {
      lines.write({ name: 'effectFailed', fields: { type, detail: String(error) } });
      return undefined;
    },
  });
  const { dispatch, getState } = loop;
  const stop = createPlannedStop({
    getCallers: () => callers,
    getStopWithinMs: () => stopWithinMs,
    announce: () => {
      dispatch({ type: 'leaving' });
    },
    lines,
  });

  const calls = createCallTable({
    codec,
    dispatch,
    isClosing: stop.isStopping,
    tellLeft: (send, afterMs) => {
      metrics.recordMs('send_left_after_ms', {}, afterMs);
      if (afterMs > LEFT_LATE_MS) {
        const fields = { ...send, afterMs: Math.round(afterMs) };
        lines.write({ name: 'sendLeftLate', fields });
      }
    },
  });

  function runEffect(effect: RoutingEffect): void {
    switch (effect.type) {
      case 'send':
        calls.startSend(effect);
        return;
      case 'cancelSend':
        calls.cancelSend(effect.requestId, effect.sendId);
        return;
      case 'answer':
        calls.answer(effect.requestId, effect.refusal);
        return;
      case 'breakOff':
        calls.breakOff(effect.requestId);
        return;
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
        recordDecision(metrics, effect);
        lines.observe(effect);
        return;
    }
  }

  const reading = createReadingWatch({
    getNowMs: () => performance.now(),
    tellBacklog: (connections, waitedMs) => {
      const fields = { connections, waitedMs: Math.round(waitedMs) };
      lines.write({ name: 'connectionsWaited', fields });
    },
    tellStall: (stalledMs) => {
      lines.write({ name: 'loopStalled', fields: { stalledMs: Math.round(stalledMs) } });
    },
  });
  const handle = createCallHandler({
    codec,
    calls,
    stop,
    lines,
    reading,
    intake: createIntake(reading, () => performance.now()),
    getMaxBodyBytes: () =>
      getState().index?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
  });

  registerRouterGauges(metrics, getState);
  const metricsListener = await startMetricsListener(settings.metricsAddress, metrics);
  const callers = createCallersServer({ handle, noteAccepted: reading.noteAccepted });
  const peers = await startPeerLink({
    ip: settings.ip,
    port: settings.peerPort,
    takeDigest: (digest) => {
      dispatch({ type: 'digestReceived', digest });
    },
    noteFailure: (failure) => {
      lines.write({ name: 'peerMessageRefused', fields: { detail: failure } });
    },
    getNowMs: () => performance.now(),
  });
  peers.addAddresses(settings.peerAddresses);

  const isReady = (): boolean =>
    !stop.isStopping() && getState().index !== undefined && !getState().targets.isEmpty();

  const readiness = await startReadiness({
    address: settings.readinessAddress,
    path: settings.readinessPath,
    isReady,
  });
  const callersAddress = await callers.listen(settings.callersAddress);
  lines.write({ name: 'started', fields: { address: callersAddress } });

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
    takeTargetsConfirmation: () => {
      dispatch({ type: 'targetsConfirmed' });
    },
    takeRecalledQuotas: (taken) => {
      dispatch({ type: 'quotasRecalled', taken });
    },
    takePeerAddresses: peers.addAddresses,
  });

  const ticking = setInterval(() => {
    reading.noteTick();
    dispatch({ type: 'ticked' });
  }, TICK_MS);

  return {
    callersAddress,
    readinessAddress: readiness.address,
    metricsAddress: metricsListener.address,
    applySettings: (changed) => {
      ({ stopWithinMs } = changed);
      peers.addAddresses(changed.peerAddresses);
      dispatch({ type: 'settingsRead', settings: newRoutingSettings(changed, incarnation) });
    },
    requestStop: stop.request,
    whenStopped: stop.whenStopped,
    [Symbol.asyncDispose]: async () => {
      clearInterval(ticking);
      await platform[Symbol.asyncDispose]();
      await readiness[Symbol.asyncDispose]();
      await metricsListener[Symbol.asyncDispose]();
      await callers[Symbol.asyncDispose]();
      await peers[Symbol.asyncDispose]();
      await calls[Symbol.asyncDispose]();
    },
  };
};
