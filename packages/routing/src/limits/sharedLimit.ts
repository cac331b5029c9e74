/** The limit that a target stated to an entry, as the entry tells the others. */
export interface SharedLimit {
  readonly target: string;
  /** Identifies the target and its start. */
  readonly targetStart: string;
  /** Requests per second; left out if its latest response named no limit. */
  readonly perSecond?: number;
  /** Time since it was stated, in milliseconds. */
  readonly ageMs: number;
}
