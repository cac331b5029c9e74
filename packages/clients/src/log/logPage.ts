import type { LogRecord } from './logRecord.js';

/** The result of a read: all records of a stream from `from` up to, but not including, `nextOffset`. */
export interface LogPage {
  /** The requested offset. */
  readonly from: number;
  /** Offset of the oldest record that the log retains. */
  readonly earliestOffset: number;
  /** One past the offset of the last returned record. */
  readonly nextOffset: number;
  /** One past the offset of the last record of the stream. */
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}
