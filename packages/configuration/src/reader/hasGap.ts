import type { ConfigurationReader } from './configurationReader.js';

/** True if the log has trimmed records that the reader has not folded; the state cannot change until the gap closes. */
export const hasGap = (reader: ConfigurationReader): boolean =>
  reader.pendingFromOffset > reader.foldedTo + 1;
