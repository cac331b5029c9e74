import type { Ranked } from './ranked.js';
import type { Wait } from './wait.js';

/** What is predicted of a request that would wait now. */
export interface Placement extends Wait {
  readonly own: Ranked;
  /** Waiting requests that are started before it. */
  readonly ahead: number;
  /** From its start to its first event, in milliseconds. */
  readonly prefillMs: number;
}
