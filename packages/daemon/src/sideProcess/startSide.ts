import { createEventLoop } from '@parsleyhall/common';
import { v7 as newUuid } from 'uuid';
import type { Incarnation } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import { createHostListClient, createLogClient } from '@parsleyhall/clients';
import type { HostList } from '@parsleyhall/clients';
import { createSideReducer } from '@parsleyhall/side';
import type { SideEffect, SideEvent, SideState } from '@parsleyhall/side';
import { startLinkServer } from '../link/startLinkServer.js';
import { getMonotonicMs } from '../eventLoop/getMonotonicMs.js';
import { createMetrics } from '@parsleyhall/metrics';
import { registerProcessGauges } from '@parsleyhall/metrics';
import { startOperatorListener } from '../operators/startOperatorListener.js';
import { pollHostList } from '../platformReaders/pollHostList.js';
import { startConfigurationFollower } from '../platformReaders/startConfigurationFollower.js';
import { createDiagnostics } from '../process/createDiagnostics.js';
import { createDeferred } from '../process/createDeferred.js';
import { createDisposalStack } from '../process/createDisposalStack.js';
import { createPeerCheck } from '../process/createPeerCheck.js';
import type { ProcessLogger } from '../process/processLogger.js';
import type { RunningProcess } from '../process/runningProcess.js';
import { startTicks } from '../process/startTicks.js';
import type { SideSettingsFile } from '../settings/sideSettingsFile.js';
import { createTargetClient } from '../target/createTargetClient.js';
import { pollEngineReports } from '../target/pollEngineReports.js';
import { getSideStatus } from './getSideStatus.js';
import { createSideSettings } from './createSideSettings.js';
import { runSideEffect } from './runSideEffect.js';
import type { SideEventBody } from './sideEventBody.js';
import { toSideFailureEvent } from './toSideFailureEvent.js';

/** Starts a side process; rejects when a listener cannot bind its address. */
export const startSide = async ({
  file,
  logger,
  createReducer = createSideReducer,
}: {
  readonly file: SideSettingsFile;
  readonly logger: ProcessLogger;
  readonly createReducer?: typeof createSideReducer;
}): Promise<RunningProcess> => {
  const settings = createSideSettings(file, newUuid() as Incarnation);
  const resources = createDisposalStack();
  const metrics = createMetrics();
  const reducerStopped = createDeferred();
  const diagnostics = createDiagnostics(metrics, logger);
  registerProcessGauges(metrics);

  const dispatch = (body: SideEventBody): void => {
    loop.dispatch(body);
  };
  const handleHostList = ({ hosts }: HostList): void => {
    const ownHost = hosts.find(({ process }) => process === file.process);
    if (ownHost !== undefined) {
      dispatch({ type: ownHost.state === 'leaving' ? 'hostLeaving' : 'hostReturned' });
    }
  };

  const logClient = resources.use(createLogClient(file.log));
  const hostListClient = resources.use(createHostListClient(file.hostList));
  const target = resources.use(
    createTargetClient({
      address: file.target.address,
      kind: file.target.kind,
      maximumRequests: file.maximumWindowRequests,
      onEvent: dispatch,
    }),
  );

  const { initialState, reduce } = createReducer(settings);
  const runEffect = (effect: SideEffect): void => {
    runSideEffect(effectContext, effect);
  };
  const loop = createEventLoop<SideState, SideEvent, SideEventBody, SideEffect>({
    initialState,
    reduce,
    stampEvent: (body): SideEvent => ({ ...body, nowMs: getMonotonicMs() }),
    runEffect,
    toFailureEvent: (effect, error) => {
      diagnostics.recordEffectFailure(effect.type, error);
      return toSideFailureEvent(effect);
    },
  });
  const link = resources.use(
    await startLinkServer({
      listen: file.listen,
      maximumBodyBytes: file.maximumBodyBytes,
      isAllowedPeer: createPeerCheck(file.allowedPeers),
      onConnected: (entry) => {
        dispatch({ type: 'entryConnected', entry });
      },
      onMessage: (entry, message) => {
        dispatch({ type: 'entryMessage', entry, message });
      },
      onDisconnected: (entry) => {
        dispatch({ type: 'entryDisconnected', entry });
      },
      onMalformed: diagnostics.recordMalformedMessage,
      onRefused: (address) => {
        metrics.increment('refused_peers_total');
        logger.warn(
          { event: 'peerRefused', address },
          'refused a peer that is not in allowedPeers',
        );
      },
    }),
  );
  const effectContext = {
    link,
    target,
    metrics,
    logger,
    applyConfiguration: (activated: ConfigurationState): void => {
      follower.adopt(activated);
      diagnostics.recordActiveConfiguration(activated);
    },
    finishStop: reducerStopped.resolve,
  };
  metrics.registerGauge('configuration_version', () => loop.getState().configuration.version);
  metrics.registerGauge('window_requests', () => Math.floor(loop.getState().window.requests));
  metrics.registerGauge('running_requests', () => loop.getState().occupancy.requests);

  const follower = resources.use(
    startConfigurationFollower({
      client: logClient,
      process: file.process,
      retentionMs: file.logRetentionMs,
      getWallMs: Date.now,
      newPublicationId: newUuid,
      onConfiguration: (configuration) => {
        dispatch({ type: 'configurationFolded', configuration });
      },
      onVerdict: diagnostics.recordVerdict,
      onFailure: diagnostics.recordLogFailure,
    }),
  );
  const operators = resources.use(
    await startOperatorListener({
      listen: file.operatorListen,
      isAllowedPeer: createPeerCheck(file.allowedOperators),
      getStatus: () => getSideStatus(settings, loop.getState(), metrics),
      formatMetrics: metrics.format,
    }),
  );
  resources.use(
    pollHostList({
      client: hostListClient,
      periodMs: file.hostListPollMs,
      onList: handleHostList,
      onFailure: diagnostics.recordHostListFailure,
    }),
  );
  if (file.target.kind === 'engine') {
    resources.use(
      pollEngineReports({
        address: file.target.address,
        loadPollMs: file.loadPollMs,
        cacheEventPollMs: file.cacheEventPollMs,
        onEvent: dispatch,
      }),
    );
  }
  resources.use(
    startTicks(file.tickMs, () => {
      dispatch({ type: 'tick' });
    }),
  );

  return {
    listeners: { peers: link.address, operators: operators.address },
    requestStop: () => {
      dispatch({ type: 'stopRequested' });
    },
    whenStopped: reducerStopped.promise,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
