import type { EntryId, Incarnation } from '@parsleyhall/common';
import { KEY_PARTITIONS } from '@parsleyhall/entry';
import type { EntrySettings } from '@parsleyhall/entry';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';

/** Selects the settings that the entry's reducer needs from the settings file. */
export const createEntrySettings = (
  file: EntrySettingsFile,
  incarnation: Incarnation,
): EntrySettings => ({
  entry: file.process as EntryId,
  incarnation,
  host: file.host,
  dataCentre: file.dataCentre,
  heartbeatMs: file.heartbeatMs,
  peerTimeoutMs: file.peerTimeoutMs,
  settleAllowanceMs: file.settleAllowanceMs,
  reservationsPerRequest: file.reservationsPerRequest,
  ...(file.sidesPerPool === undefined ? {} : { sidesPerPool: file.sidesPerPool }),
  maximumWaiting: file.maximumWaiting,
  maximumWaitingBytes: file.maximumWaitingBytes,
  keyPartitions: KEY_PARTITIONS,
  logRetentionMs: file.logRetentionMs,
  clockToleranceMs: file.clockToleranceMs,
  longPrefillTokens: file.longPrefillTokens,
});
