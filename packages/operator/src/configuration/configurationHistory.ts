import type { ConfigurationReader, OffsetVerdict } from '@parsleyhall/configuration';
import type { LogRecord } from '@parsleyhall/clients';

/** The configuration stream as read so far: the folded state, the records, and the verdict on each record. */
export interface ConfigurationHistory {
  readonly reader: ConfigurationReader;
  readonly records: readonly LogRecord[];
  readonly verdicts: readonly OffsetVerdict[];
}
