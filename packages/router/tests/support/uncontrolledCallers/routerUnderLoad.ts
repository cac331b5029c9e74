/** A router process with lowered limits on the loopback interface, and its target. */
export interface RouterUnderLoad extends AsyncDisposable {
  readonly callersAddress: string;
  /** Whether the process has not ended. */
  readonly isAlive: () => boolean;
  /** Resident memory of the process, in bytes; the highest one since its start. */
  readonly getPeakMemoryBytes: () => number;
  readonly countDescriptors: () => number;
  /** Number of responses that the target has begun, ended or not. */
  readonly countBegunResponses: () => number;
  /** Number of responses that the target has begun and not ended. */
  readonly countOpenResponses: () => number;
  /** Number of requests that the target has read and holds back its response to. */
  readonly countHeldResponses: () => number;
  /** Lets the target respond to them all at once. */
  readonly releaseHeld: () => void;
}
