import { assertNever } from '@parsleyhall/common';
import type { EntryId, GrantId, SideId } from '@parsleyhall/common';
import { createSideReducer } from '@parsleyhall/side';
import type { SideDecisions, SideEffect, SideEvent, SideSettings } from '@parsleyhall/side';
import { createProcessShell } from './createProcessShell.js';
import { followConfiguration } from './followConfiguration.js';
import { getHostOf } from './getHostOf.js';
import type { History } from './history.js';
import type { HostListFake } from './hostListFake.js';
import { isEngineSide } from './isEngineSide.js';
import type { Life } from './life.js';
import type { Link } from './link.js';
import type { LogFake } from './logFake.js';
import type { ProcessShell } from './processShell.js';
import type { Simulation } from './simulation.js';
import type { TargetFake } from './targetFake.js';
import { WORLD_SETTINGS } from './worldSettings.js';

type AnswerSink = Parameters<TargetFake['call']>[0]['sink'];

const REPORT_LAG_MS = 250;
const LONG_PREFILL_TOKENS = 4_000;

/** Creates a side process: the real reducer with its follower, its target and its streams. */
export const createSideShell = ({
  simulation,
  log,
  hostList,
  target,
  sideId,
  index,
  decisions,
  getLink,
  record,
  onStopped,
}: {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly hostList: HostListFake;
  readonly target: TargetFake;
  readonly sideId: SideId;
  readonly index: number;
  readonly decisions: Partial<SideDecisions>;
  readonly getLink: (entry: EntryId) => Link;
  readonly record: (fact: History['facts'][number]) => void;
  readonly onStopped: () => void;
}): ProcessShell<SideEvent> => {
  const isEngine = isEngineSide(index);
  let learnConfiguration: ReturnType<typeof followConfiguration> = () => undefined;

  const newReducer = (incarnation: SideSettings['incarnation']) =>
    createSideReducer(
      {
        side: sideId,
        incarnation,
        host: getHostOf(sideId),
        dataCentre: 'ebene',
        pool: isEngine ? WORLD_SETTINGS.enginePool : WORLD_SETTINGS.servicePool,
        models: isEngine ? [WORLD_SETTINGS.model] : [],
        kind: isEngine ? 'engine' : 'service',
        initialWindowRequests: 2,
        maximumWindowRequests: 3,
        grantLeaseMs: WORLD_SETTINGS.grantLeaseMs,
        heartbeatMs: WORLD_SETTINGS.heartbeatMs,
        peerTimeoutMs: WORLD_SETTINGS.peerTimeoutMs,
        answerRetentionMs: WORLD_SETTINGS.answerRetentionMs,
        maximumWaiting: 6,
        longPrefillTokens: LONG_PREFILL_TOKENS,
      },
      decisions,
    );

  const newSink = (life: Life<SideEvent>, grantId: GrantId): AnswerSink => ({
    onHead: (status, headers) => {
      life.deliver(({ nowMs }) => ({ nowMs, type: 'targetHead', grantId, status, headers }));
    },
    onBytes: (bytes) => {
      life.deliver(({ nowMs }) => ({ nowMs, type: 'targetBytes', grantId, bytes, tokens: 1 }));
    },
    onEnd: (chunks) => {
      life.deliver(({ nowMs }) => ({
        nowMs,
        type: 'targetEnd',
        grantId,
        prefillTokens: chunks,
        decodeTokens: chunks,
      }));
    },
    onFailed: (outcome) => {
      life.deliver(({ nowMs }) => ({ nowMs, type: 'targetFailed', grantId, outcome }));
    },
    onUnknown: () => {
      life.deliver(({ nowMs }) => ({ nowMs, type: 'targetUnknown', grantId }));
    },
  });

  const runEffect = (effect: SideEffect, life: Life<SideEvent>): void => {
    const atMs = simulation.getNowMs();
    switch (effect.type) {
      case 'sendToEntry':
        getLink(effect.entry).sendToEntry(effect.message);
        return;
      case 'closeEntry':
        getLink(effect.entry).cut({ forMs: 0, isSilent: false });
        return;
      case 'callTarget': {
        const { requestId, call, grantId } = effect;
        const { incarnation } = life;
        target.call({ requestId, incarnation, call, sink: newSink(life, grantId) });
        return;
      }
      case 'resumeOnTarget': {
        const { requestId, fromByte, grantId } = effect;
        target.resume({ requestId, fromByte, sink: newSink(life, grantId) });
        return;
      }
      case 'cancelOnTarget':
        target.cancel(effect.requestId);
        return;
      case 'configurationInForce':
        learnConfiguration(effect.configuration);
        record({ ...effect, atMs, process: sideId, incarnation: life.incarnation });
        return;
      case 'observe':
        return;
      case 'stopped':
        onStopped();
        return;
      default:
        assertNever(effect);
    }
  };

  const pollPlatform = (life: Life<SideEvent>): void => {
    if (!life.isCurrent()) {
      return;
    }
    const own = hostList.list()?.find(({ side }) => side === sideId);
    if (own?.isLeaving === true) {
      life.deliver(({ nowMs }) => ({ nowMs, type: 'hostLeaving' }));
    }
    const runningRequests = target.getRunning();
    simulation.schedule(REPORT_LAG_MS, () => {
      life.deliver(({ nowMs }) => ({
        nowMs,
        type: 'loadReport',
        runningRequests,
        waitingRequests: 0,
        keyValueUsedShare: 0.2,
        ageMs: REPORT_LAG_MS,
      }));
    });
    simulation.schedule(WORLD_SETTINGS.listPeriodMs, () => {
      life.run(() => {
        pollPlatform(life);
      });
    });
  };

  const onStart = (life: Life<SideEvent>): void => {
    record({ type: 'processStarted', atMs: simulation.getNowMs(), process: sideId });
    learnConfiguration = followConfiguration({
      simulation,
      log,
      process: life.incarnation,
      retentionMs: WORLD_SETTINGS.logRetentionMs,
      stagger: 1,
      run: life.run,
      onFolded: (configuration) => {
        life.deliver(({ nowMs }) => ({ nowMs, type: 'configurationFolded', configuration }));
      },
      onFailure: () => undefined,
    });
    pollPlatform(life);
  };

  return createProcessShell({
    simulation,
    name: sideId,
    clockOffsetMs: 100_000 * (index + 1),
    wallSkewMs: 0,
    newReducer,
    newTick: ({ nowMs }): SideEvent => ({ nowMs, type: 'tick' }),
    runEffect,
    onStart,
    onEnd: () => undefined,
  });
};
