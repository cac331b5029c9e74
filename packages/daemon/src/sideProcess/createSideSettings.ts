import type { Incarnation, SideId } from '@parsleyhall/common';
import type { SideSettings } from '@parsleyhall/side';
import type { SideSettingsFile } from '../settings/sideSettingsFile.js';

/** Selects the settings that the side process's reducer needs from the settings file. */
export const createSideSettings = (
  file: SideSettingsFile,
  incarnation: Incarnation,
): SideSettings => ({
  side: file.process as SideId,
  incarnation,
  host: file.host,
  dataCentre: file.dataCentre,
  pool: file.target.pool,
  models: file.target.models,
  kind: file.target.kind,
  initialWindowRequests: file.initialWindowRequests,
  maximumWindowRequests: file.maximumWindowRequests,
  grantLeaseMs: file.grantLeaseMs,
  heartbeatMs: file.heartbeatMs,
  peerTimeoutMs: file.peerTimeoutMs,
  answerRetentionMs: file.answerRetentionMs,
  maximumWaiting: file.maximumWaiting,
  longPrefillTokens: file.longPrefillTokens,
});
