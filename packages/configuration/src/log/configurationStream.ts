/** Stream of the log that holds the configuration. */
export const CONFIGURATION_STREAM = 'configuration';
