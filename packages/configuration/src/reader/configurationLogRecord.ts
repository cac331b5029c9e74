/** A record as returned by the log; `value` is not yet validated. */
export interface ConfigurationLogRecord {
  readonly offset: number;
  /** Wall clock of the log when the record was appended, in milliseconds. */
  readonly appendedAtMs: number;
  readonly value: unknown;
}
