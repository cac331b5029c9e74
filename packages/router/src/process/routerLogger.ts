import type { default as bunyan } from 'bunyan';

/** Writes a router's log lines. */
export type RouterLogger = Pick<bunyan, 'debug' | 'info' | 'warn' | 'error'>;
