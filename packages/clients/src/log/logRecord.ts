/** A record of a log stream. */
export interface LogRecord {
  readonly offset: number;
  /** Wall clock of the log when the record was appended, in milliseconds. */
  readonly appendedAtMs: number;
  readonly value: unknown;
}
