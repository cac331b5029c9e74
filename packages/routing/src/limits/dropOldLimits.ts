import type { Map } from 'immutable';
import type { RoutingState } from '../routingState.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import type { TargetLimit } from './targetLimit.js';

/** A target may drop out of the list and return during an outage of the list. */
const UNLISTED_RETENTION_MS = 600_000;
/** The end of a limit is kept for this long, so that older reports of other entries do not bring it back. */
const ENDED_RETENTION_MS = 30_000;

/** The limits without those that have ended, and those of targets that have long been gone. */
export const dropOldLimits = (state: RoutingState, nowMs: number): Map<string, TargetLimit> => {
  if (state.targetLimits.isEmpty()) {
    return state.targetLimits;
  }
  const listed = new Set([...state.targets.keys()].map((id) => getTargetStart(state, id)));
  return state.targetLimits.filter(({ perSecond, statedAtMs }, targetStart) => {
    const retentionMs = perSecond === undefined ? ENDED_RETENTION_MS : UNLISTED_RETENTION_MS;
    const isKept = perSecond !== undefined && listed.has(targetStart);
    return isKept || nowMs - statedAtMs < retentionMs;
  });
};
