import type { Crash } from './crash.js';
import type { Disturbance } from './disturbance.js';
import type { SentRequest } from './sentRequest.js';
import type { TargetRun } from './targetRun.js';

/** What callers, targets and the soak itself observed in one run. Written to `history.json`. */
export interface History {
  readonly requests: SentRequest[];
  readonly runs: TargetRun[];
  readonly disturbances: Disturbance[];
  readonly crashes: Crash[];
  /** When the faults were over and the system had had time to settle, in milliseconds of the soak's monotonic clock. */
  calmFromMs: number;
}
