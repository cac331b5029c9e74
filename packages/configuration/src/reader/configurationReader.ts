import type { ConfigurationState } from '../state/configurationState.js';
import type { CheckpointAnchor } from './checkpointAnchor.js';
import type { ConfigurationLogRecord } from './configurationLogRecord.js';

/** A reader of the configuration stream: what it has folded, and what it holds but cannot fold yet. */
export interface ConfigurationReader {
  readonly state: ConfigurationState;
  /** The state holds every accepted record up to this offset. */
  readonly foldedTo: number;
  /** Offset to read from next. */
  readonly nextOffset: number;
  /**
   * Records read past a gap that retention left; `heldFrom` to `nextOffset` is held whole. They wait for a checkpoint
   * or a peer's state that covers the gap. Empty without a gap.
   */
  readonly heldFrom: number;
  readonly held: readonly ConfigurationLogRecord[];
  /** Undefined until a record has been read. */
  readonly anchor: CheckpointAnchor | undefined;
}
