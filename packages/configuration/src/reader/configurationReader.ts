import type { ConfigurationState } from '../state/configurationState.js';
import type { ConfigurationLogRecord } from './configurationLogRecord.js';
import type { LastCheckpoint } from './lastCheckpoint.js';

/** Progress of reading the configuration stream: the folded state, and the records that cannot be folded yet. */
export interface ConfigurationReader {
  readonly state: ConfigurationState;
  /** `state` includes all accepted records up to this offset. */
  readonly foldedTo: number;
  /** Offset from which to read next. */
  readonly nextOffset: number;
  /** First offset of the range that `pendingRecords` covers; the range ends before `nextOffset`. */
  readonly pendingFromOffset: number;
  /**
   * Records read after a gap, that is, after records that the log trimmed before they were read. They are folded once a
   * checkpoint or a peer's state covers the gap. Empty if there is no gap.
   */
  readonly pendingRecords: readonly ConfigurationLogRecord[];
  /** Undefined until a record has been folded. */
  readonly lastCheckpoint: LastCheckpoint | undefined;
}
