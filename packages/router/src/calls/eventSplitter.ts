/** One whole event of a stream. */
interface StreamEvent {
  readonly bytes: Buffer;
  readonly id?: string;
}

/** Cuts a stream's bytes into whole events. */
export interface EventSplitter {
  /** The events that are whole with these bytes. */
  readonly take: (bytes: Buffer) => readonly StreamEvent[];
  /** Bytes of an event that is not whole. */
  readonly getRest: () => number;
}
