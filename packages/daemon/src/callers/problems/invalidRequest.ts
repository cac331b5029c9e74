import type { InvalidReason } from './invalidReason.js';

/** A caller's request that cannot be served as it stands. */
export interface InvalidRequest {
  readonly type: 'invalidRequest';
  readonly reason: InvalidReason;
  /** What was found and what is allowed. */
  readonly detail: string;
}
