/** Appends an entry's records for the burn report to the log. */
export interface Reporter extends AsyncDisposable {
  /** Appends the outcomes accumulated since the last record. */
  readonly flush: () => Promise<void>;
}
