/**
 * Determines whether a request may be retried (idempotent), not retried (non-idempotent), or may not (stream) or may
 * (resumable stream) be resumed at another target.
 */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream' | 'resumableStream';
