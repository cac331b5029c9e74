import type { NotRunReason } from '@parsleyhall/protocol';

/**
 * The final answer to a request without an answer of a target. `notRun` is a promise that it did not run and will not;
 * `outcomeUnknown` says that it may have run; `keyConflict` that its idempotency key belongs to another request, is too
 * old or malformed, or that its run is done but its answer was too large to keep.
 */
export type FinalFailure =
  | {
      readonly type: 'notRun';
      readonly reason: NotRunReason;
      /** When to come back, in milliseconds. */
      readonly retryAfterMs: number;
    }
  | { readonly type: 'outcomeUnknown'; readonly retryAfterMs: number }
  | {
      readonly type: 'keyConflict';
      readonly reason: 'otherRequest' | 'tooOld' | 'malformed' | 'answerNotKept';
    };
