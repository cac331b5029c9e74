import type { CrashEvidence } from './crashEvidence.js';

/** What speaks for and against one prompt part as the cause of crashes. */
export interface Suspicion {
  /** The oldest first. */
  readonly evidence: readonly CrashEvidence[];
  /**
   * When a target last answered a request with the part without crashing, in milliseconds of the monotonic clock;
   * undefined if none has since the part was suspected.
   */
  readonly clearedAtMs?: number;
  /** Whether this entry observed that answer itself. */
  readonly isClearedHere: boolean;
}
