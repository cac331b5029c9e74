import { setTimeout as delay } from 'node:timers/promises';
import { computeFingerprint } from '@parsleyhall/common';
import {
  adoptConfiguration,
  CONFIGURATION_STREAM,
  EMPTY_CONFIGURATION_READER,
  isCheckpointDue,
  createCheckpoint,
  foldConfigurationPage,
} from '@parsleyhall/configuration';
import type {
  ConfigurationReader,
  ConfigurationState,
  OffsetVerdict,
} from '@parsleyhall/configuration';
import { followStream } from '@parsleyhall/clients';
import type { LogClient, LogFailure } from '@parsleyhall/clients';
import type { ConfigurationFollower } from './configurationFollower.js';

const FIRST_OFFSET = 1;
// A record of a large organisation takes long to check, and heartbeats must not wait for many.
const PAGE_RECORDS = 4;
const HASH_VALUES = 2 ** 32;
const CHECKS_PER_RETENTION = 32;
const LONGEST_CHECK_PERIOD_MS = 10_000;

/** Begins to fold the configuration stream, and appends a checkpoint whenever one is due. */
export const startConfigurationFollower = ({
  client,
  process,
  retentionMs,
  getWallMs,
  newPublicationId,
  onConfiguration,
  onVerdict,
  onFailure,
}: {
  readonly client: LogClient;
  readonly process: string;
  readonly retentionMs: number;
  readonly getWallMs: () => number;
  readonly newPublicationId: () => string;
  readonly onConfiguration: (configuration: ConfigurationState) => void;
  readonly onVerdict: (verdict: OffsetVerdict) => void;
  readonly onFailure: (failure: LogFailure) => void;
}): ConfigurationFollower => {
  const stop = new AbortController();
  const { signal } = stop;
  const stagger = computeFingerprint(process) / HASH_VALUES;
  let reader: ConfigurationReader = EMPTY_CONFIGURATION_READER;

  const take = (next: ConfigurationReader): void => {
    const isNewer = next.state.version > reader.state.version;
    reader = next;
    if (isNewer) {
      onConfiguration(reader.state);
    }
  };

  const appendCheckpoint = async (): Promise<void> => {
    const appended = await client.append({
      stream: CONFIGURATION_STREAM,
      records: [createCheckpoint(reader, newPublicationId())],
      signal,
    });
    appended.ifLeft(onFailure);
  };

  const watchCheckpoints = async (): Promise<void> => {
    const periodMs = Math.min(LONGEST_CHECK_PERIOD_MS, retentionMs / CHECKS_PER_RETENTION);
    while (!signal.aborted) {
      if (isCheckpointDue({ reader, nowMs: getWallMs(), retentionMs, stagger })) {
        await appendCheckpoint();
      }
      await delay(periodMs, undefined, { signal }).catch(() => undefined);
    }
  };

  const followed = followStream({
    client,
    stream: CONFIGURATION_STREAM,
    from: FIRST_OFFSET,
    maxPageRecords: PAGE_RECORDS,
    getFirstNeededOffset: () => reader.nextOffset,
    onPage: (page) => {
      const read = foldConfigurationPage(reader, page);
      read.verdicts.forEach(onVerdict);
      take(read.reader);
    },
    onFailure,
    signal,
  });
  const watched = watchCheckpoints();

  return {
    adopt: (configuration) => {
      take(adoptConfiguration(reader, configuration));
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([followed, watched]);
    },
  };
};
