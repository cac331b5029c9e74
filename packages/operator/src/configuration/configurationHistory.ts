import type { ConfigurationReader, OffsetVerdict } from '@parsleyhall/configuration';
import type { LogRecord } from '@parsleyhall/clients';

/** The configuration stream as read up to its end, with what was read on the way. */
export interface ConfigurationHistory {
  readonly reader: ConfigurationReader;
  readonly records: readonly LogRecord[];
  readonly verdicts: readonly OffsetVerdict[];
}
