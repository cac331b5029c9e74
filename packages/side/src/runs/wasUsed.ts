import type { GrantId, RequestId } from '@parsleyhall/common';
import type { CalledState } from './calledState.js';

/** Whether the request was called by this very grant. */
export const wasUsed = (called: CalledState, requestId: RequestId, grantId: GrantId): boolean =>
  (called.recent.get(requestId) ?? called.older.get(requestId)) === grantId;
