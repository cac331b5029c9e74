import { Map } from 'immutable';
import type { GrantId, RequestId } from '@parsleyhall/common';
import type { CalledState } from './calledState.js';

const CALLED_PER_GENERATION = 50_000;

/** Remembers that the request was called by the grant; the oldest generation is forgotten as a whole. */
export const rememberCalled = (
  called: CalledState,
  use: { readonly requestId: RequestId; readonly grantId: GrantId; readonly lastCounter: number },
): CalledState => {
  if (called.recent.size < CALLED_PER_GENERATION) {
    return { ...called, recent: called.recent.set(use.requestId, use.grantId) };
  }
  return {
    recent: Map([[use.requestId, use.grantId]]),
    older: called.recent,
    forgottenUpTo: called.recentSince,
    recentSince: use.lastCounter,
  };
};
