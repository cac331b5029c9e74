/** Messages on their way into one stream. */
export interface Outbox {
  /** Adds an encoded message, to be written in this turn of the event loop. */
  readonly push: (message: Uint8Array) => void;
  /** Writes what was added at once. */
  readonly flush: () => void;
}
