/** Determines whether a request may be retried (idempotent), not retried (non-idempotent), or resumed (stream). */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream';
