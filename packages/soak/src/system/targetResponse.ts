/** How a target responds to a request with status 200. */
export interface TargetResponse {
  /** The response's media type; undefined for none. */
  readonly contentType: string | undefined;
  /** Whether it has a length or chunks; otherwise the end of the connection ends it. */
  readonly isFramed: boolean;
  /** The parts of the body, each in its own write. */
  readonly chunks: readonly string[];
  /** The time between two writes, in milliseconds; with 0, the end follows the last chunk in the same write. */
  readonly intervalMs: number;
  /** Whether it ends in order, or its connection is closed or reset before that. */
  readonly end: 'complete' | 'closed' | 'reset';
}
