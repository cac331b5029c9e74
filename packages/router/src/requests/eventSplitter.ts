/** One complete event of a stream. */
interface StreamEvent {
  readonly bytes: Buffer;
  readonly id?: string;
}

/** Splits the bytes of a stream into complete events. */
export interface EventSplitter {
  /** Returns the events that these bytes complete. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** Length of the event that has begun and is not complete, in bytes. */
  readonly countIncompleteBytes: () => number;
}
