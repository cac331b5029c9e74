import type { IncomingHttpHeaders } from 'node:http';
import type { EventFormat } from './eventFormat.js';
import { getMediaType } from './getMediaType.js';

const FIRST_SUCCESS_STATUS = 200;
const FIRST_STATUS_BEYOND_SUCCESS = 300;
/** Such a response has no body. */
const NO_CONTENT_STATUS = 204;
const EVENT_STREAM = 'text/event-stream';

/**
 * Whether the body of a response on a streaming route consists of events. Where events are numbered, each successful response
 * does, whatever its headers say; otherwise its media type decides.
 */
export const isEventStream = (
  status: number,
  headers: IncomingHttpHeaders,
  { isNumbered }: EventFormat,
): boolean => {
  const isSuccess =
    status >= FIRST_SUCCESS_STATUS &&
    status < FIRST_STATUS_BEYOND_SUCCESS &&
    status !== NO_CONTENT_STATUS;
  return isSuccess && (isNumbered || getMediaType(headers) === EVENT_STREAM);
};
