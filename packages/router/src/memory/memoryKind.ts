/**
 * What the entry holds for a connection. The first five depend on the caller alone; the others last as long as its
 * request is being served.
 */
export type MemoryKind =
  | 'head'
  | 'body'
  | 'unparsed'
  | 'requestsAhead'
  | 'unreadResponse'
  | 'bufferedResponse'
  | 'request';
