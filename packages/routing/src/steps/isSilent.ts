import { isStream } from '../requests/isStream.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';

/** Parts of what a caller bears after which a stream's target is taken for stuck. */
const STREAM_SHARE = 0.4;
/** Objectives after which a plain answer's target is taken for stuck. */
const PLAIN_OBJECTIVES = 2;

/** Whether the request's target has said nothing for so long that another is worth trying. */
export const isSilent = ({ route, send }: TrackedRequest, nowMs: number): boolean => {
  if (send === undefined) {
    return false;
  }
  const boundMs = isStream(route)
    ? route.longestSilenceMs * STREAM_SHARE
    : route.objectiveMs * PLAIN_OBJECTIVES;
  return nowMs - send.latestMs > boundMs;
};
