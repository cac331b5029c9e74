import type { TrackedRequest } from '../requests/trackedRequest.js';
import { MAX_RESERVED_SHARE } from './maxReservedShare.js';
import type { Room } from './room.js';

/**
 * Whether a request fits into the memory of a target beside the requests there. One that is so large that the reserve could
 * keep it out for good is sent to a target without any requests.
 */
export const fitsInto = (
  { heldTokens }: Pick<TrackedRequest, 'heldTokens'>,
  { freeTokens, emptyTokens }: Room,
): boolean =>
  heldTokens <= freeTokens ||
  (heldTokens <= emptyTokens && heldTokens > (1 - MAX_RESERVED_SHARE) * emptyTokens);
