import type { ConfigurationVerdict } from '../log/configurationVerdict.js';

/** The verdict on the record at an offset of the log. */
export interface OffsetVerdict {
  readonly offset: number;
  readonly verdict: ConfigurationVerdict;
}
