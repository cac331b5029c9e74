/** Name of the log stream that holds the configuration records. */
export const CONFIGURATION_STREAM = 'configuration';
