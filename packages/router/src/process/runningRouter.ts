/** A router that serves. */
export interface RunningRouter extends AsyncDisposable {
  /** Where callers connect: IP address and port. */
  readonly callersAddress: string;
  /** Where the platform asks: IP address and port. */
  readonly readinessAddress: string;
  /** Starts a planned stop. */
  readonly requestStop: () => void;
  readonly whenStopped: Promise<void>;
}
