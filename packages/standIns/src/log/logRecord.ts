/** A record as kept in a stream. */
export interface LogRecord {
  readonly offset: number;
  /** Wall clock at the append, in milliseconds since 1970. */
  readonly appendedAtMs: number;
  readonly value: unknown;
}
