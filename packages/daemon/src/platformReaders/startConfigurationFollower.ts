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
// Validating a record of a large organisation takes long, and a large page of them would delay heartbeats.
const MAX_PAGE_RECORDS = 4;
const FINGERPRINT_COUNT = 2 ** 32;
const CHECKS_PER_RETENTION = 32;
const MAX_CHECK_PERIOD_MS = 10_000;

/** Starts to follow the configuration stream, and appends a checkpoint to it whenever one is due. */
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
  const stagger = computeFingerprint(process) / FINGERPRINT_COUNT;
  let reader: ConfigurationReader = EMPTY_CONFIGURATION_READER;

  const updateReader = (next: ConfigurationReader): void => {
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
    const periodMs = Math.min(MAX_CHECK_PERIOD_MS, retentionMs / CHECKS_PER_RETENTION);
    while (!signal.aborted) {
      if (isCheckpointDue({ reader, nowMs: getWallMs(), retentionMs, stagger })) {
        await appendCheckpoint();
      }
      await delay(periodMs, undefined, { signal }).catch(() => undefined);
    }
  };

  const following = followStream({
    client,
    stream: CONFIGURATION_STREAM,
    from: FIRST_OFFSET,
    maxPageRecords: MAX_PAGE_RECORDS,
    getFirstNeededOffset: () => reader.nextOffset,
    onPage: (page) => {
      const pageRead = foldConfigurationPage(reader, page);
      pageRead.verdicts.forEach(onVerdict);
      updateReader(pageRead.reader);
    },
    onFailure,
    signal,
  });
  const watching = watchCheckpoints();

  return {
    adopt: (configuration) => {
      updateReader(adoptConfiguration(reader, configuration));
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([following, watching]);
    },
  };
};
