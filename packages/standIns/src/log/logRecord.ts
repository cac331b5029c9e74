/** A stored record of a stream. */
export interface LogRecord {
  readonly offset: number;
  /** Wall-clock time of the append, in milliseconds since 1970. */
  readonly appendedAtMs: number;
  readonly value: unknown;
}
