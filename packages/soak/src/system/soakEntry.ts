/** An entry that runs as a separate process. */
export interface SoakEntry extends AsyncDisposable {
  readonly ip: string;
  readonly port: number;
  /** Whether the load balancer sends new requests to it. */
  readonly isAcceptingRequests: () => boolean;
  /** Kills and restarts the process. */
  readonly kill: () => Promise<void>;
  /** Shuts the process down gracefully and restarts it. */
  readonly stop: () => Promise<void>;
  /** Suspends the process for a while. */
  readonly pause: (forMs: number) => Promise<void>;
}
