import { closeHttp, createEventLoop, listenHttp } from '@parsleyhall/common';
import { v7 as newUuid } from 'uuid';
import type { Incarnation, RequestId } from '@parsleyhall/common';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import type { ConfigurationState } from '@parsleyhall/configuration';
import { createEntryReducer, KEY_PARTITIONS } from '@parsleyhall/entry';
import type { EntryEffect, EntryEvent, EntryState } from '@parsleyhall/entry';
import { createHostListClient, createLogClient } from '@parsleyhall/clients';
import type { LogFailure } from '@parsleyhall/clients';
import { createCallersServer } from '../callers/createCallersServer.js';
import { startKeyLog } from '../keyLog/startKeyLog.js';
import { getMonotonicMs } from '../loop/getMonotonicMs.js';
import { createMetrics } from '@parsleyhall/metrics';
import { registerProcessGauges } from '@parsleyhall/metrics';
import { startOperatorListener } from '../operators/startOperatorListener.js';
import { pollHostList } from '../platformReaders/pollHostList.js';
import { startConfigurationFollower } from '../platformReaders/startConfigurationFollower.js';
import { createFaultNotes } from '../process/createFaultNotes.js';
import { createLatch } from '../process/createLatch.js';
import { drainHttp } from '../process/drainHttp.js';
import { createDisposalStack } from '../process/createDisposalStack.js';
import { createPeerCheck } from '../process/createPeerCheck.js';
import type { ProcessLogger } from '../process/processLogger.js';
import type { RunningProcess } from '../process/runningProcess.js';
import { startTicks } from '../process/startTicks.js';
import { createReportAccount } from '../report/createReportAccount.js';
import { startReporter } from '../report/startReporter.js';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';
import { describeReporter } from './describeReporter.js';
import type { EntryEventBody } from './entryEventBody.js';
import { getEntryStatus } from './getEntryStatus.js';
import { newEntryCallers } from './newEntryCallers.js';
import { newEntryLinks } from './newEntryLinks.js';
import { newEntrySettings } from './newEntrySettings.js';
import { runEntryEffect } from './runEntryEffect.js';
import { toEntryFailureEvent } from './toEntryFailureEvent.js';
import { toListedHosts } from './toListedHosts.js';

/** Starts an entry; rejects when a listener cannot be bound. */
export const startEntry = async ({
  file,
  logger,
  createReducer = createEntryReducer,
}: {
  readonly file: EntrySettingsFile;
  readonly logger: ProcessLogger;
  readonly createReducer?: typeof createEntryReducer;
}): Promise<RunningProcess> => {
  const settings = newEntrySettings(file, newUuid() as Incarnation);
  const parts = createDisposalStack();
  const metrics = createMetrics();
  const account = createReportAccount();
  const stopping = createLatch();
  let configuration: ConfigurationState = EMPTY_CONFIGURATION;
  const notes = createFaultNotes(metrics, logger);
  registerProcessGauges(metrics);

  const dispatch = (body: EntryEventBody): void => {
    loop.dispatch(body);
  };
  const noteLogFailure = (failure: LogFailure): void => {
    if (notes.noteLogFailure(failure)) {
      dispatch({ type: 'logFailed' });
    }
  };

  const logClient = parts.use(createLogClient(file.log));
  const hostListClient = parts.use(createHostListClient(file.hostList));

  const callers = newEntryCallers({ file, metrics, account, dispatch });
  const links = newEntryLinks({ file, callers, notes, dispatch });

  const keyLog = startKeyLog({
    client: logClient,
    partitions: KEY_PARTITIONS,
    onEvent: dispatch,
    onFailure: noteLogFailure,
    onRefused: (records, failure) => {
      metrics.increment('key_records_refused_total', {}, records.length);
      logger.error({ event: 'keyRecordsRefused', failure }, 'the log refuses key records');
    },
  });

  const { initialState, reduce } = createReducer(settings);
  const effectParts = {
    callers,
    links,
    keyLog,
    metrics,
    logger,
    putInForce: (inForce: ConfigurationState): void => {
      configuration = inForce;
      follower.adopt(inForce);
      notes.noteInForce(inForce);
    },
    finishStop: stopping.open,
  };
  const loop = createEventLoop<EntryState, EntryEvent, EntryEventBody, EntryEffect>({
    initialState,
    reduce,
    stampEvent: (body): EntryEvent => ({
      ...body,
      nowMs: getMonotonicMs(),
      wallMs: Date.now(),
    }),
    runEffect: (effect) => {
      runEntryEffect(effectParts, effect);
    },
    toFailureEvent: (effect, error) => {
      notes.noteEffectFailure(effect.type, error);
      return toEntryFailureEvent(effect);
    },
  });
  metrics.registerGauge('configuration_version', () => configuration.version);
  metrics.registerGauge('open_callers', callers.size);

  const follower = startConfigurationFollower({
    client: logClient,
    process: file.process,
    retentionMs: file.logRetentionMs,
    getWallMs: Date.now,
    newPublicationId: newUuid,
    onConfiguration: (folded) => {
      dispatch({ type: 'configurationFolded', configuration: folded });
    },
    onVerdict: notes.noteVerdict,
    onFailure: noteLogFailure,
  });

  const server = createCallersServer({
    ...file,
    getNowMs: getMonotonicMs,
    newRequestId: () => newUuid() as RequestId,
    getConfiguration: () => configuration,
    isStopping: () => loop.getState().isStopping,
    formatMetrics: metrics.format,
    onArrived: (request, arrivedAtMs, response) => {
      callers.open(request, arrivedAtMs, response);
      dispatch({ type: 'requestArrived', request });
    },
    onInvalid: ({ reason }) => {
      metrics.increment('invalid_requests_total', { reason });
    },
  });

  const operators = parts.use(
    await startOperatorListener({
      listen: file.operatorListen,
      isAllowedPeer: createPeerCheck(file.allowedOperators),
      getStatus: () => getEntryStatus({ settings, state: loop.getState(), callers, metrics }),
      formatMetrics: metrics.format,
    }),
  );
  const callersAddress = await listenHttp(server, file.listen);
  parts.defer(() => closeHttp(server));
  const reporter = parts.use(
    startReporter({
      client: logClient,
      account,
      periodMs: file.reportPeriodMs,
      getWallMs: Date.now,
      describe: () => describeReporter(settings, configuration),
      onFailure: noteLogFailure,
    }),
  );
  parts.use(keyLog);
  parts.use(links);
  parts.use(follower);
  parts.use(
    pollHostList({
      client: hostListClient,
      periodMs: file.hostListPollMs,
      onList: (list) => {
        dispatch(toListedHosts(list));
      },
      onFailure: notes.noteHostListFailure,
    }),
  );
  parts.use(
    startTicks(file.tickMs, () => {
      dispatch({ type: 'tick' });
    }),
  );

  const finish = async (): Promise<void> => {
    await stopping.opened;
    await drainHttp(server);
    await keyLog.flush();
    await reporter.flush();
  };
  return {
    listeners: { callers: callersAddress, operators: operators.address },
    requestStop: () => {
      dispatch({ type: 'stopRequested' });
    },
    whenStopped: finish(),
    [Symbol.asyncDispose]: () => parts[Symbol.asyncDispose](),
  };
};
