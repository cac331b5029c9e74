import type { InvalidReason } from './invalidReason.js';
import type { InvalidRequest } from './invalidRequest.js';

export const createInvalidRequest = (reason: InvalidReason, detail: string): InvalidRequest => ({
  type: 'invalidRequest',
  reason,
  detail,
});
