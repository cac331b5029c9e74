import type { ConfigurationRecord } from '../log/configurationRecord.js';
import type { ConfigurationReader } from './configurationReader.js';

/** Creates a checkpoint record of the state that the reader has folded. */
export const createCheckpoint = (
  reader: ConfigurationReader,
  publicationId: string,
): ConfigurationRecord => ({
  type: 'checkpoint',
  publicationId,
  state: reader.state,
  foldedTo: reader.foldedTo,
});
