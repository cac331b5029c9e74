import { EMPTY_CONFIGURATION } from '../state/emptyConfiguration.js';
import type { ConfigurationReader } from './configurationReader.js';

/** A reader that has not read anything and starts at the first offset. */
export const EMPTY_CONFIGURATION_READER: ConfigurationReader = {
  state: EMPTY_CONFIGURATION,
  foldedTo: 0,
  nextOffset: 1,
  pendingFromOffset: 1,
  pendingRecords: [],
  lastCheckpoint: undefined,
};
