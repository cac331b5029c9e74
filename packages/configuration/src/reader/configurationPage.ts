import type { ConfigurationLogRecord } from './configurationLogRecord.js';

/** All records of the configuration stream in a range of offsets. */
export interface ConfigurationPage {
  /** First offset of the range; greater than the requested one if the log has trimmed the records in between. */
  readonly from: number;
  /** One past the last offset of the range. */
  readonly nextOffset: number;
  readonly records: readonly ConfigurationLogRecord[];
}
