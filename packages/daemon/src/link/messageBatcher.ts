/** Batches the messages that are written to one stream. */
export interface MessageBatcher {
  /** Adds an encoded message, which is written in the current turn of the event loop. */
  readonly push: (message: Uint8Array) => void;
  /** Writes all pending messages immediately. */
  readonly flush: () => void;
}
