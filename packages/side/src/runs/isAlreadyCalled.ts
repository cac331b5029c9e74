import type { RequestId } from '@parsleyhall/common';
import type { CalledState } from './calledState.js';

/** Whether this incarnation has called its target for the request. */
export const isAlreadyCalled = (called: CalledState, requestId: RequestId): boolean =>
  called.recent.has(requestId) || called.older.has(requestId);
