import type { RequestKind } from './requestKind.js';

const EVENT_COUNT = 6;
const ID_REPEAT_COUNT = 40;

/** Returns the complete response body that a target sends for a request. */
export const createResponseBody = (id: string, kind: RequestKind): string =>
  kind === 'stream'
    ? Array.from({ length: EVENT_COUNT }, (_, index) => `id: ${index + 1}\ndata: ${id}\n\n`).join(
        '',
      )
    : `${id};`.repeat(ID_REPEAT_COUNT);
