/** Stops the process after its open requests have finished. */
export interface GracefulShutdown {
  readonly start: () => void;
  /** Whether a stop was requested: the process reports that it is not ready, and closes connections after responses. */
  readonly isShuttingDown: () => boolean;
  /** Whether new requests are refused, since they could not finish in time. */
  readonly isRefusingRequests: () => boolean;
  readonly whenStopped: Promise<void>;
}
