/** Numbers by name as read from a digest. */
export interface NamedCounts {
  readonly counts: Readonly<Record<string, number>>;
  /** Counts that were left out since nothing is known of the names with their hashes. */
  readonly unresolved: number;
}
