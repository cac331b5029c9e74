import type { EntrySettings } from '../entrySettings.js';
import { getKeyTimeMs } from './getKeyTimeMs.js';

/**
 * Says whether a key's records would all still be in the log, and were all read; undefined when they would. A key from
 * the future is malformed, since its age cannot be told.
 */
export const checkKeyAge = ({
  settings,
  key,
  wallMs,
  trustedFromMs,
}: {
  readonly settings: EntrySettings;
  readonly key: string;
  readonly wallMs: number;
  readonly trustedFromMs: number;
}): 'tooOld' | 'malformed' | undefined => {
  const madeAtMs = getKeyTimeMs(key);
  if (madeAtMs === undefined || madeAtMs > wallMs + settings.clockToleranceMs) {
    return 'malformed';
  }
  const oldestMs = Math.max(
    wallMs - settings.logRetentionMs + settings.clockToleranceMs,
    trustedFromMs,
  );
  return madeAtMs < oldestMs ? 'tooOld' : undefined;
};
