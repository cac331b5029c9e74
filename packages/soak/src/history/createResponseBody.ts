import { createEvents } from './createEvents.js';
import { isStream } from './isStream.js';
import type { RequestKind } from './requestKind.js';

const ID_REPEAT_COUNT = 40;

/** Returns the complete response body that the caller of a request has to receive. */
export const createResponseBody = (id: string, kind: RequestKind): string =>
  isStream(kind) ? createEvents(id).join('') : `${id};`.repeat(ID_REPEAT_COUNT);
