import { isStream } from '../requests/isStream.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';

/** A stream's target counts as stalled after this share of the route's longest tolerated silence. */
const STREAM_STALL_SHARE = 0.4;
/** The target of a non-streaming response counts as stalled after this multiple of the route's objective. */
const NON_STREAMING_STALL_OBJECTIVES = 2;

/** Whether the request's target has sent nothing for so long that another one is worth trying. */
export const isStalled = ({ route, send }: TrackedRequest, nowMs: number): boolean => {
  if (send === undefined) {
    return false;
  }
  const timeoutMs = isStream(route)
    ? route.longestSilenceMs * STREAM_STALL_SHARE
    : route.objectiveMs * NON_STREAMING_STALL_OBJECTIVES;
  return nowMs - send.lastByteAtMs > timeoutMs;
};
