/** Limits on what callers make a router hold. */
export interface CallerLimits {
  /** Memory of the host, in bytes; undefined if it is not known. */
  readonly hostMemoryBytes?: number;
  /** Time within which a body must arrive, in milliseconds. */
  readonly bodyTimeoutMs: number;
  /** Time after which a caller that reads nothing of its response is disconnected, in milliseconds. */
  readonly unreadTimeoutMs: number;
  /** Number of callers' connections that may be open. */
  readonly maxConnections: number;
}
