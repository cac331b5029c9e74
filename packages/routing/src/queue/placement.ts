import type { Wait } from './wait.js';

/** What is predicted of a request that would wait now. */
export interface Placement extends Wait {
  /** Waiting requests that are started before it. */
  readonly ahead: number;
  /** From its start to its first event, in milliseconds. */
  readonly prefillMs: number;
}
