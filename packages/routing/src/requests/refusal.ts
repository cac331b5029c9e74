import type { RefusalReason } from './refusalReason.js';

/** A final answer of this entry's own. */
export interface Refusal {
  readonly status: 401 | 404 | 429 | 502 | 503 | 504;
  readonly reason: RefusalReason;
  /** When to come back, in milliseconds; only where the request has not run. */
  readonly retryAfterMs?: number;
}
