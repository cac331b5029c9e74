/** The HTTP server for callers. */
export interface CallersServer extends AsyncDisposable {
  /** Number of requests whose response is not finished. */
  readonly countOpenRequests: () => number;
  /** Resolves with the address that was bound. */
  readonly listen: (address: string) => Promise<string>;
  /** Limits how long a connection may stay idle. */
  readonly setIdleTimeoutMs: (idleTimeoutMs: number) => void;
  /** Accepts no new connections from now on. */
  readonly stopListening: () => void;
  /** Closes the connections that have no open request. */
  readonly closeIdleConnections: () => void;
}
