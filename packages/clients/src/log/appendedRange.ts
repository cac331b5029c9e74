/** Where appended records stand in their stream. */
export interface AppendedRange {
  readonly firstOffset: number;
  /** One past the last record appended. */
  readonly nextOffset: number;
}
