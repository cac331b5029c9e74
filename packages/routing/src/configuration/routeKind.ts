/**
 * Which requests may be retried after they may have run: an idempotent call may run more than once, a non-idempotent
 * one at most once; a resumable stream may continue on another target after its last complete event, any other stream
 * runs at most once.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'resumableStream' | 'stream';
