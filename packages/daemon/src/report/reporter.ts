/** Appends the report records of an entry. */
export interface Reporter extends AsyncDisposable {
  /** Appends what has gathered since the last record. */
  readonly flush: () => Promise<void>;
}
