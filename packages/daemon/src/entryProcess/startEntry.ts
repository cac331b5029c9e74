import { closeHttp, createEventLoop, listenHttp } from '@parsleyhall/common';
import { v7 as newUuid } from 'uuid';
import type { Incarnation, RequestId } from '@parsleyhall/common';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import type { ConfigurationState } from '@parsleyhall/configuration';
import { createEntryReducer, KEY_PARTITIONS } from '@parsleyhall/entry';
import type { EntryEffect, EntryEvent, EntryState } from '@parsleyhall/entry';
import { createHostListClient, createLogClient } from '@parsleyhall/clients';
import type { LogFailure } from '@parsleyhall/clients';
import { createCallerServer } from '../callers/createCallerServer.js';
import { startIdempotencyKeyLog } from '../idempotencyKeys/startIdempotencyKeyLog.js';
import { getMonotonicMs } from '../eventLoop/getMonotonicMs.js';
import { createMetrics } from '@parsleyhall/metrics';
import { registerProcessGauges } from '@parsleyhall/metrics';
import { startOperatorListener } from '../operators/startOperatorListener.js';
import { pollHostList } from '../platformReaders/pollHostList.js';
import { startConfigurationFollower } from '../platformReaders/startConfigurationFollower.js';
import { createDiagnostics } from '../process/createDiagnostics.js';
import { createDeferred } from '../process/createDeferred.js';
import { drainHttp } from '../process/drainHttp.js';
import { createDisposalStack } from '../process/createDisposalStack.js';
import { createPeerCheck } from '../process/createPeerCheck.js';
import type { ProcessLogger } from '../process/processLogger.js';
import type { RunningProcess } from '../process/runningProcess.js';
import { startTicks } from '../process/startTicks.js';
import { createReportAccumulator } from '../report/createReportAccumulator.js';
import { startReporter } from '../report/startReporter.js';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';
import { getReportMetadata } from './getReportMetadata.js';
import type { EntryEventBody } from './entryEventBody.js';
import { getEntryStatus } from './getEntryStatus.js';
import { createEntryCallerRegistry } from './createEntryCallerRegistry.js';
import { createEntrySideLinks } from './createEntrySideLinks.js';
import { createEntrySettings } from './createEntrySettings.js';
import { runEntryEffect } from './runEntryEffect.js';
import { toEntryFailureEvent } from './toEntryFailureEvent.js';
import { toHostsListedEvent } from './toHostsListedEvent.js';

/** Starts an entry; rejects when a listener cannot bind its address. */
export const startEntry = async ({
  file,
  logger,
  createReducer = createEntryReducer,
}: {
  readonly file: EntrySettingsFile;
  readonly logger: ProcessLogger;
  readonly createReducer?: typeof createEntryReducer;
}): Promise<RunningProcess> => {
  const settings = createEntrySettings(file, newUuid() as Incarnation);
  const resources = createDisposalStack();
  const metrics = createMetrics();
  const accumulator = createReportAccumulator();
  const reducerStopped = createDeferred();
  let configuration: ConfigurationState = EMPTY_CONFIGURATION;
  const diagnostics = createDiagnostics(metrics, logger);
  registerProcessGauges(metrics);

  const dispatch = (body: EntryEventBody): void => {
    loop.dispatch(body);
  };
  const recordLogFailure = (failure: LogFailure): void => {
    if (diagnostics.recordLogFailure(failure)) {
      dispatch({ type: 'logFailed' });
    }
  };

  const logClient = resources.use(createLogClient(file.log));
  const hostListClient = resources.use(createHostListClient(file.hostList));

  const callers = createEntryCallerRegistry({ file, metrics, accumulator, dispatch });
  const links = createEntrySideLinks({ file, callers, diagnostics, dispatch });

  const keyLog = startIdempotencyKeyLog({
    client: logClient,
    partitions: KEY_PARTITIONS,
    onEvent: dispatch,
    onFailure: recordLogFailure,
    onRefused: (records, failure) => {
      metrics.increment('key_records_refused_total', {}, records.length);
      logger.error(
        { event: 'keyRecordsRefused', failure },
        'the log rejected idempotency key records',
      );
    },
  });

  const { initialState, reduce } = createReducer(settings);
  const effectContext = {
    callers,
    links,
    keyLog,
    metrics,
    logger,
    applyConfiguration: (activated: ConfigurationState): void => {
      configuration = activated;
      follower.adopt(activated);
      diagnostics.recordActiveConfiguration(activated);
    },
    finishStop: reducerStopped.resolve,
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
      runEntryEffect(effectContext, effect);
    },
    toFailureEvent: (effect, error) => {
      diagnostics.recordEffectFailure(effect.type, error);
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
    onVerdict: diagnostics.recordVerdict,
    onFailure: recordLogFailure,
  });

  const server = createCallerServer({
    ...file,
    getNowMs: getMonotonicMs,
    newRequestId: () => newUuid() as RequestId,
    getConfiguration: () => configuration,
    isStopping: () => loop.getState().isStopping,
    formatMetrics: metrics.format,
    onArrived: (request, arrivedAtMs, response) => {
      callers.register(request, arrivedAtMs, response);
      dispatch({ type: 'requestArrived', request });
    },
    onInvalid: ({ reason }) => {
      metrics.increment('invalid_requests_total', { reason });
    },
  });

  const operators = resources.use(
    await startOperatorListener({
      listen: file.operatorListen,
      isAllowedPeer: createPeerCheck(file.allowedOperators),
      getStatus: () => getEntryStatus({ settings, state: loop.getState(), callers, metrics }),
      formatMetrics: metrics.format,
    }),
  );
  const callersAddress = await listenHttp(server, file.listen);
  resources.defer(() => closeHttp(server));
  const reporter = resources.use(
    startReporter({
      client: logClient,
      accumulator,
      periodMs: file.reportPeriodMs,
      getWallMs: Date.now,
      getMetadata: () => getReportMetadata(settings, configuration),
      onFailure: recordLogFailure,
    }),
  );
  resources.use(keyLog);
  resources.use(links);
  resources.use(follower);
  resources.use(
    pollHostList({
      client: hostListClient,
      periodMs: file.hostListPollMs,
      onList: (list) => {
        dispatch(toHostsListedEvent(list));
      },
      onFailure: diagnostics.recordHostListFailure,
    }),
  );
  resources.use(
    startTicks(file.tickMs, () => {
      dispatch({ type: 'tick' });
    }),
  );

  const finish = async (): Promise<void> => {
    await reducerStopped.promise;
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
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
