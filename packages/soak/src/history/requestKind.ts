/** What may be repeated of a request. */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream';
