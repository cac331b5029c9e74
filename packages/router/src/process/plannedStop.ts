/** A stop that cuts nothing. */
export interface PlannedStop {
  readonly request: () => void;
  /** Asked for: the process says that it is not ready, and ends connections with their answers. */
  readonly isStopping: () => boolean;
  /** Requests that come now could not be finished in time. */
  readonly isClosed: () => boolean;
  readonly whenStopped: Promise<void>;
}
