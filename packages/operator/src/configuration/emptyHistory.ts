import { EMPTY_CONFIGURATION_READER } from '@parsleyhall/configuration';
import type { ConfigurationHistory } from './configurationHistory.js';

/** The history before the first page is read. */
export const EMPTY_HISTORY: ConfigurationHistory = {
  reader: EMPTY_CONFIGURATION_READER,
  records: [],
  verdicts: [],
};
