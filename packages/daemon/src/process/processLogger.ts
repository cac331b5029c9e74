import type { default as bunyan } from 'bunyan';

/** Writes the JSON log lines of a process. */
export type ProcessLogger = Pick<bunyan, 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal'>;
