import type { RequestKind } from './requestKind.js';

const EVENTS = 6;
const REPEATS = 40;

/** The whole body that a target answers to a request. */
export const getAnswerBody = (id: string, kind: RequestKind): string =>
  kind === 'stream'
    ? Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${id}\n\n`).join('')
    : `${id};`.repeat(REPEATS);
