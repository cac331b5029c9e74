import { EMPTY_CONFIGURATION_READER } from '@parsleyhall/configuration';
import type { ConfigurationHistory } from './configurationHistory.js';

/** A history of which nothing has been read. */
export const EMPTY_HISTORY: ConfigurationHistory = {
  reader: EMPTY_CONFIGURATION_READER,
  records: [],
  verdicts: [],
};
