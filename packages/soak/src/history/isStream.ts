import type { RequestKind } from './requestKind.js';

/** Returns whether the response to a request of this kind is a stream of events. */
export const isStream = (kind: RequestKind): boolean =>
  kind === 'stream' || kind === 'resumableStream';
