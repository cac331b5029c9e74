import type { ConfigurationLogRecord } from './configurationLogRecord.js';

/** All records of the configuration stream from one offset up to another. */
export interface ConfigurationPage {
  /** First offset that the page covers; above the one asked for when the log has dropped the records between. */
  readonly from: number;
  /** One past the last offset that the page covers. */
  readonly nextOffset: number;
  readonly records: readonly ConfigurationLogRecord[];
}
