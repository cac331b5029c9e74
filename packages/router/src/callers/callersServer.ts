/** The HTTP server for callers. */
export interface CallersServer extends AsyncDisposable {
  /** Number of requests whose response is not written out. */
  readonly countOpenRequests: () => number;
  /** Number of open connections on which a request has arrived. */
  readonly countUsedConnections: () => number;
  /** Resolves with the address that was bound. */
  readonly listen: (address: string) => Promise<string>;
  /** Limits how long a connection may stay idle. */
  readonly setIdleTimeoutMs: (idleTimeoutMs: number) => void;
  /** Accepts no new connections from now on. */
  readonly stopListening: () => void;
  /** Closes the connections on which a request was answered and that have been idle for a while. */
  readonly closeIdleConnections: () => void;
  /** Closes the connections with an open request so that no response looks complete. */
  readonly breakOffResponses: () => void;
}
