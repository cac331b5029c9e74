import type { InvalidReason } from './invalidReason.js';
import type { InvalidRequest } from './invalidRequest.js';

/** An invalid request with its reason and detail. */
export const newInvalidRequest = (reason: InvalidReason, detail: string): InvalidRequest => ({
  type: 'invalidRequest',
  reason,
  detail,
});
