import type { InvalidReason } from './invalidReason.js';

/** Why a caller's request cannot be served unless the caller changes it. */
export interface InvalidRequest {
  readonly type: 'invalidRequest';
  readonly reason: InvalidReason;
  /** What was found and what is allowed. */
  readonly detail: string;
}
