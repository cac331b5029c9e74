import type { Refusal } from '../requests/refusal.js';
import type { Quarantine } from './quarantine.js';

/** Retry-After of a quarantine that is on trial. */
const MIN_RETRY_MS = 1_000;

/** The refusal of a request under quarantine; only one that has not run is told when to come back. */
export const getQuarantineRefusal = (
  { heldUntilMs }: Quarantine,
  mayHaveRun: boolean,
  nowMs: number,
): Refusal =>
  mayHaveRun
    ? { status: 502, reason: 'promptQuarantined' }
    : {
        status: 503,
        reason: 'promptQuarantined',
        retryAfterMs: Math.ceil(Math.max(MIN_RETRY_MS, heldUntilMs - nowMs)),
      };
