import { assertNever } from '@parsleyhall/common';
import type { EntryId, SideId } from '@parsleyhall/common';
import { createEntryReducer } from '@parsleyhall/entry';
import type {
  EntryDecisions,
  EntryEffect,
  EntryEvent,
  EntrySettings,
  KeyRecord,
} from '@parsleyhall/entry';
import { createKeyAppender } from './createKeyAppender.js';
import { createProcessShell } from './createProcessShell.js';
import { followConfiguration } from './followConfiguration.js';
import { followLog } from './followLog.js';
import { getHostOf } from './getHostOf.js';
import type { History } from './history.js';
import type { HostListFake } from './hostListFake.js';
import type { Life } from './life.js';
import type { Link } from './link.js';
import type { LogFake } from './logFake.js';
import type { ProcessShell } from './processShell.js';
import type { Simulation } from './simulation.js';
import { WORLD_SETTINGS } from './worldSettings.js';

type KeyAppender = ReturnType<typeof createKeyAppender>;

const MAXIMUM_WAITING = 8;
const MAXIMUM_WAITING_BYTES = 100_000;
const LONG_PREFILL_TOKENS = 4_000;

/** Creates an entry: the real reducer with its followers, its key appenders and its streams. */
export const createEntryShell = ({
  simulation,
  log,
  hostList,
  entryId,
  index,
  decisions,
  getLink,
  record,
  onStopped,
}: {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly hostList: HostListFake;
  readonly entryId: EntryId;
  readonly index: number;
  readonly decisions: Partial<EntryDecisions>;
  readonly getLink: (side: SideId) => Link;
  readonly record: (fact: History['facts'][number]) => void;
  readonly onStopped: () => void;
}): ProcessShell<EntryEvent> => {
  let appenders: readonly KeyAppender[] = [];
  let learnConfiguration: ReturnType<typeof followConfiguration> = () => undefined;
  let openSides: readonly SideId[] = [];

  const newReducer = (incarnation: EntrySettings['incarnation']) =>
    createEntryReducer(
      {
        entry: entryId,
        incarnation,
        host: getHostOf(entryId),
        dataCentre: 'ebene',
        heartbeatMs: WORLD_SETTINGS.heartbeatMs,
        peerTimeoutMs: WORLD_SETTINGS.peerTimeoutMs,
        settleAllowanceMs: WORLD_SETTINGS.settleAllowanceMs,
        reservationsPerRequest: 2,
        maximumWaiting: MAXIMUM_WAITING,
        maximumWaitingBytes: MAXIMUM_WAITING_BYTES,
        keyPartitions: WORLD_SETTINGS.keyPartitions,
        logRetentionMs: WORLD_SETTINGS.logRetentionMs,
        clockToleranceMs: WORLD_SETTINGS.clockToleranceMs,
        longPrefillTokens: LONG_PREFILL_TOKENS,
      },
      decisions,
    );

  const runEffect = (effect: EntryEffect, life: Life<EntryEvent>): void => {
    const atMs = simulation.getNowMs();
    switch (effect.type) {
      case 'sendToSide':
        getLink(effect.side).sendToSide(effect.message);
        return;
      case 'openSide':
        openSides = [...openSides, effect.side];
        getLink(effect.side).open();
        return;
      case 'closeSide':
        openSides = openSides.filter((side) => side !== effect.side);
        getLink(effect.side).close();
        return;
      case 'reconnectSide':
        getLink(effect.side).reconnect();
        return;
      case 'answerBytes': {
        const text = new TextDecoder().decode(effect.bytes);
        record({ type: 'answerBytes', atMs, requestId: effect.requestId, text });
        return;
      }
      case 'answerHead':
      case 'answerEnd':
      case 'answerFailure':
        record({ ...effect, atMs });
        return;
      case 'appendKeyRecord':
        appenders[effect.partition]?.append(effect.record);
        return;
      case 'configurationInForce':
        learnConfiguration(effect.configuration);
        record({ ...effect, atMs, process: entryId, incarnation: life.incarnation });
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

  const followKeys = (life: Life<EntryEvent>, partition: number): KeyAppender => {
    const stream = `keys-${partition}`;
    const onFailure = (): void => {
      life.deliver((clock) => ({ ...clock, type: 'logFailed' }));
    };
    const appender = createKeyAppender({ simulation, log, stream, run: life.run, onFailure });
    followLog({
      simulation,
      log,
      stream,
      run: life.run,
      onFailure,
      onPage: ({ records, nextOffset, isAtEnd }) => {
        const keyRecords = records.map(({ offset, value }) => ({
          offset,
          record: value as KeyRecord,
        }));
        appender.onRead(keyRecords.map(({ record: keyRecord }) => keyRecord));
        life.deliver((clock) => ({
          ...clock,
          type: 'keyRecordsRead',
          partition,
          records: keyRecords,
          nextOffset,
          isAtEnd,
        }));
      },
    });
    return appender;
  };

  const pollHosts = (life: Life<EntryEvent>): void => {
    if (!life.isCurrent()) {
      return;
    }
    const hosts = hostList.list();
    if (hosts !== undefined) {
      life.deliver((clock) => ({ ...clock, type: 'hostsListed', hosts }));
    }
    simulation.schedule(WORLD_SETTINGS.listPeriodMs, () => {
      life.run(() => {
        pollHosts(life);
      });
    });
  };

  const onStart = (life: Life<EntryEvent>): void => {
    record({ type: 'processStarted', atMs: simulation.getNowMs(), process: entryId });
    appenders = Array.from({ length: WORLD_SETTINGS.keyPartitions }, (_, partition) =>
      followKeys(life, partition),
    );
    learnConfiguration = followConfiguration({
      simulation,
      log,
      process: life.incarnation,
      retentionMs: WORLD_SETTINGS.logRetentionMs,
      stagger: index / WORLD_SETTINGS.entries,
      run: life.run,
      onFolded: (configuration) => {
        life.deliver((clock) => ({ ...clock, type: 'configurationFolded', configuration }));
      },
      onFailure: () => undefined,
    });
    pollHosts(life);
  };

  const onEnd = (): void => {
    for (const side of openSides) {
      getLink(side).close();
    }
    openSides = [];
    appenders = [];
  };

  return createProcessShell({
    simulation,
    name: entryId,
    clockOffsetMs: 10_000 * (index + 1),
    wallSkewMs: index % 2 === 0 ? 40 : -40,
    newReducer,
    newTick: (clock): EntryEvent => ({ ...clock, type: 'tick' }),
    runEffect,
    onStart,
    onEnd,
  });
};
