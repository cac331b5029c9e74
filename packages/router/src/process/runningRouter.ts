/** A router that serves. */
export interface RunningRouter extends AsyncDisposable {
  /** Starts a planned stop. */
  readonly requestStop: () => void;
  readonly whenStopped: Promise<void>;
}
