/** What has arrived of the body of a request that waits for the responses to those before it. */
export interface WaitingBody {
  /** Bytes of memory that it takes. */
  readonly getCapacity: () => number;
  /** Hands it to the request, which gets everything that arrives from now on. */
  readonly deliver: () => void;
}
