import type { ConfigurationReader } from './configurationReader.js';
import { hasGap } from './hasGap.js';

const DUE_SHARE_OF_RETENTION = 0.5;
const STAGGER_SHARE_OF_RETENTION = 0.25;

/**
 * True when the reader should append a checkpoint so that a new reader finds a start in the log. `stagger`, from 0 to
 * 1 and different for each process, lets one process append while the others see its checkpoint in time.
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
  if (reader.anchor === undefined) {
    return true;
  }
  const waitShare = reader.anchor.type === 'covered' ? DUE_SHARE_OF_RETENTION : 0;
  const waitMs = retentionMs * (waitShare + STAGGER_SHARE_OF_RETENTION * stagger);
  return nowMs - reader.anchor.atMs > waitMs;
};
