import type { ConfigurationState } from './configurationState.js';

/** The configuration before any accepted record. */
export const EMPTY_CONFIGURATION: ConfigurationState = {
  version: 0,
  document: undefined,
  presetInForce: undefined,
  drainedHosts: [],
  recentPublications: [],
};
