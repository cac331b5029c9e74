import type { Disturbance } from './disturbance.js';
import type { SentRequest } from './sentRequest.js';
import type { TargetRun } from './targetRun.js';

/** All that callers, targets and the soak itself saw in one run. */
export interface History {
  readonly requests: SentRequest[];
  readonly runs: TargetRun[];
  readonly disturbances: Disturbance[];
  /** From here on nothing is disturbed, in milliseconds of the soak's steady clock. */
  calmFromMs: number;
}
