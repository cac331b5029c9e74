/** How the callers of one kind in a drawn crowd behave. */
export interface CallerKind {
  readonly callers: number;
  /** How the body is sent: with its length, in chunks, or without either. */
  readonly framing: 'announced' | 'chunked' | 'none';
  /** Size of each chunk of a chunked body, in bytes. */
  readonly chunkBytes: number;
  readonly bodyBytes: number;
  readonly headerLines: number;
  /** Size of the value of each header line, in bytes. */
  readonly headerValueBytes: number;
  readonly hasUsualHeaders: boolean;
  /** Where a caller stops sending its last request; nothing is left out where it is `complete`. */
  readonly stopsAt: 'inHead' | 'inBody' | 'justShort' | 'complete' | 'behind';
  /** Complete requests with an empty body that are sent before the last one. */
  readonly requestsAhead: number;
  readonly responseBytes: number;
  readonly reading: 'fully' | 'slowly' | 'never';
  /** What a caller does with its connection once it has sent everything. */
  readonly end: 'kept' | 'ended' | 'reset';
}
