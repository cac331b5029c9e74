import type { RefusalReason } from './refusalReason.js';

/** An error response that this entry sends to a caller itself. */
export interface Refusal {
  readonly status: 401 | 404 | 429 | 502 | 503 | 504;
  readonly reason: RefusalReason;
  /** When the caller may retry, in milliseconds; only set if the request has not run. */
  readonly retryAfterMs?: number;
}
