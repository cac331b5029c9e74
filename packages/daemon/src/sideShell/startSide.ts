import { createEventLoop } from '@parsleyhall/common';
import { v7 as newUuid } from 'uuid';
import type { Incarnation } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import { createHostListClient, createLogClient } from '@parsleyhall/clients';
import type { HostList } from '@parsleyhall/clients';
import { createSideReducer } from '@parsleyhall/side';
import type { SideEffect, SideEvent, SideState } from '@parsleyhall/side';
import { startLinkServer } from '../link/startLinkServer.js';
import { getMonotonicMs } from '../loop/getMonotonicMs.js';
import { createMetrics } from '@parsleyhall/metrics';
import { registerProcessGauges } from '@parsleyhall/metrics';
import { startOperatorListener } from '../operators/startOperatorListener.js';
import { pollHostList } from '../platformReaders/pollHostList.js';
import { startConfigurationFollower } from '../platformReaders/startConfigurationFollower.js';
import { createFaultNotes } from '../process/createFaultNotes.js';
import { createLatch } from '../process/createLatch.js';
import { createDisposalStack } from '../process/createDisposalStack.js';
import { createPeerCheck } from '../process/createPeerCheck.js';
import type { ProcessLogger } from '../process/processLogger.js';
import type { RunningProcess } from '../process/runningProcess.js';
import { startTicks } from '../process/startTicks.js';
import type { SideSettingsFile } from '../settings/sideSettingsFile.js';
import { createTargetClient } from '../target/createTargetClient.js';
import { followTarget } from '../target/followTarget.js';
import { getSideStatus } from './getSideStatus.js';
import { newSideSettings } from './newSideSettings.js';
import { runSideEffect } from './runSideEffect.js';
import type { SideEventBody } from './sideEventBody.js';
import { toSideFailureEvent } from './toSideFailureEvent.js';

/** Starts a side process; rejects when a listener cannot be bound. */
export const startSide = async ({
  file,
  logger,
  createReducer = createSideReducer,
}: {
  readonly file: SideSettingsFile;
  readonly logger: ProcessLogger;
  readonly createReducer?: typeof createSideReducer;
}): Promise<RunningProcess> => {
  const settings = newSideSettings(file, newUuid() as Incarnation);
  const parts = createDisposalStack();
  const metrics = createMetrics();
  const stopping = createLatch();
  const notes = createFaultNotes(metrics, logger);
  registerProcessGauges(metrics);

  const dispatch = (body: SideEventBody): void => {
    loop.dispatch(body);
  };
  const takeList = ({ hosts }: HostList): void => {
    const own = hosts.find(({ process }) => process === file.process);
    if (own !== undefined) {
      dispatch({ type: own.state === 'leaving' ? 'hostLeaving' : 'hostReturned' });
    }
  };

  const logClient = parts.use(createLogClient(file.log));
  const hostListClient = parts.use(createHostListClient(file.hostList));
  const target = parts.use(
    createTargetClient({
      address: file.target.address,
      kind: file.target.kind,
      maximumRequests: file.maximumWindowRequests,
      onEvent: dispatch,
    }),
  );

  const { initialState, reduce } = createReducer(settings);
  const runEffect = (effect: SideEffect): void => {
    runSideEffect(effectParts, effect);
  };
  const loop = createEventLoop<SideState, SideEvent, SideEventBody, SideEffect>({
    initialState,
    reduce,
    stampEvent: (body): SideEvent => ({ ...body, nowMs: getMonotonicMs() }),
    runEffect,
    toFailureEvent: (effect, error) => {
      notes.noteEffectFailure(effect.type, error);
      return toSideFailureEvent(effect);
    },
  });
  const link = parts.use(
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
      onMalformed: notes.noteMalformed,
      onRefused: (address) => {
        metrics.increment('refused_peers_total');
        logger.warn({ event: 'peerRefused', address }, 'a peer outside the settings');
      },
    }),
  );
  const effectParts = {
    link,
    target,
    metrics,
    logger,
    putInForce: (inForce: ConfigurationState): void => {
      follower.adopt(inForce);
      notes.noteInForce(inForce);
    },
    finishStop: stopping.open,
  };
  metrics.registerGauge('configuration_version', () => loop.getState().configuration.version);
  metrics.registerGauge('window_requests', () => Math.floor(loop.getState().window.requests));
  metrics.registerGauge('running_requests', () => loop.getState().occupancy.requests);

  const follower = parts.use(
    startConfigurationFollower({
      client: logClient,
      process: file.process,
      retentionMs: file.logRetentionMs,
      getWallMs: Date.now,
      newPublicationId: newUuid,
      onConfiguration: (configuration) => {
        dispatch({ type: 'configurationFolded', configuration });
      },
      onVerdict: notes.noteVerdict,
      onFailure: notes.noteLogFailure,
    }),
  );
  const operators = parts.use(
    await startOperatorListener({
      listen: file.operatorListen,
      isAllowedPeer: createPeerCheck(file.allowedOperators),
      getStatus: () => getSideStatus(settings, loop.getState(), metrics),
      formatMetrics: metrics.format,
    }),
  );
  parts.use(
    pollHostList({
      client: hostListClient,
      periodMs: file.hostListPollMs,
      onList: takeList,
      onFailure: notes.noteHostListFailure,
    }),
  );
  if (file.target.kind === 'engine') {
    parts.use(
      followTarget({
        address: file.target.address,
        loadPollMs: file.loadPollMs,
        cacheEventPollMs: file.cacheEventPollMs,
        onEvent: dispatch,
      }),
    );
  }
  parts.use(
    startTicks(file.tickMs, () => {
      dispatch({ type: 'tick' });
    }),
  );

  return {
    listeners: { peers: link.address, operators: operators.address },
    requestStop: () => {
      dispatch({ type: 'stopRequested' });
    },
    whenStopped: stopping.opened,
    [Symbol.asyncDispose]: () => parts[Symbol.asyncDispose](),
  };
};
