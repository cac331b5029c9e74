import type { ConfigurationReader } from './configurationReader.js';
import { hasGap } from './hasGap.js';

const DUE_SHARE_OF_RETENTION = 0.5;
const STAGGER_SHARE_OF_RETENTION = 0.25;

/**
 * True if a checkpoint has to be appended so that new readers can still start from the log after older records are
 * trimmed. `stagger`, from 0 to 1, differs between processes: it spreads their checkpoints in time, so that the others
 * see the first one and need not append their own.
 */
export const isCheckpointDue = ({
  reader,
  nowMs,
  retentionMs,
  stagger,
}: {
  readonly reader: ConfigurationReader;
  /** Wall clock, in milliseconds. */
  readonly nowMs: number;
  readonly retentionMs: number;
  readonly stagger: number;
}): boolean => {
  if (reader.state.version === 0 || hasGap(reader) || reader.nextOffset <= reader.state.version) {
    return false;
  }
  if (reader.lastCheckpoint === undefined) {
    return true;
  }
  const waitShare = reader.lastCheckpoint.type === 'seen' ? DUE_SHARE_OF_RETENTION : 0;
  const waitMs = retentionMs * (waitShare + STAGGER_SHARE_OF_RETENTION * stagger);
  return nowMs - reader.lastCheckpoint.atMs > waitMs;
};
