import type { LogRecord } from './logRecord.js';

/** All records of a stream from one offset up to another. */
export interface LogPage {
  /** Offset that was asked for. */
  readonly from: number;
  /** First offset that the log still keeps. */
  readonly earliestOffset: number;
  /** One past the last record returned. */
  readonly nextOffset: number;
  /** One past the last record of the stream. */
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}
