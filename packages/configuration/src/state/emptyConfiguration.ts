import type { ConfigurationState } from './configurationState.js';

/** The configuration state before any record has been accepted. */
export const EMPTY_CONFIGURATION: ConfigurationState = {
  version: 0,
  document: undefined,
  presetInForce: undefined,
  drainedHosts: [],
  recentPublications: [],
};
