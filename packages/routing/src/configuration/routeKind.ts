/**
 * What may be repeated: an idempotent call may run more than once, a non-idempotent one at most once; a resumable
 * stream may go on elsewhere after its last whole event, and a stream that is not resumable runs at most once.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'resumableStream' | 'stream';
