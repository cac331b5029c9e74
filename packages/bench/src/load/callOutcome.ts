import type { PlannedCall } from './plannedCall.js';

/** How a call ended; times in wall milliseconds from the sending of its first attempt. */
export interface CallOutcome {
  readonly call: PlannedCall;
  /** Wall clock of the first sending, in milliseconds since 1970. */
  readonly sentAtMs: number;
  /**
   * `answered` whole and byte for byte right; `wrong` an answer that is not; `notRun` and `unknown` as the problem document says;
   * `cut` when the connection broke; `silent` when no answer came long after the deadline.
   */
  readonly result:
    'answered' | 'wrong' | 'notRun' | 'unknown' | 'invalid' | 'cut' | 'hungUp' | 'silent';
  /** The reason in the problem document, or what was seen. */
  readonly reason: string;
  readonly status: number;
  readonly attempts: number;
  /** Reasons of the refusals after which the caller came back. */
  readonly refusals: readonly { readonly reason: string; readonly atMs: number }[];
  readonly endMs: number;
  readonly firstTokenMs: number | undefined;
  /** Times between tokens, for a streamed answer. */
  readonly gapsMs: readonly number[];
}
