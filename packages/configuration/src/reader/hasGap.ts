import type { ConfigurationReader } from './configurationReader.js';

/** True when the log has dropped records that the reader has not folded: it keeps its version and accepts nothing. */
export const hasGap = (reader: ConfigurationReader): boolean =>
  reader.heldFrom > reader.foldedTo + 1;
