/** Serves callers. */
export interface CallersServer extends AsyncDisposable {
  /** Requests without their final answer. */
  readonly countOpen: () => number;
  /** Answers with the address that it got. */
  readonly listen: (address: string) => Promise<string>;
  /** Bounds how long a connection may stay idle, in milliseconds. */
  readonly setIdleTimeoutMs: (idleTimeoutMs: number) => void;
  /** Takes no new connections. */
  readonly stopListening: () => void;
  /** Ends the connections on which nothing is under way. */
  readonly closeIdle: () => void;
}
