import type { CallOutcome } from './callOutcome.js';

/** One sending of a call; times on the clock of `performance.now`. */
export interface Attempt {
  readonly result: CallOutcome['result'] | 'notConnected';
  readonly reason: string;
  readonly status: number;
  readonly endedAtMs: number;
  readonly firstTokenAtMs: number | undefined;
  readonly gapsMs: readonly number[];
  readonly retryAfterMs: number | undefined;
}
