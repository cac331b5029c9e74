/** One way in which a target sends bytes that no run made. */
export interface ForeignKind {
  readonly name: string;
  /** Writes them where the next sound event has this number. */
  readonly write: (next: number) => string;
  /** Nothing but the sound event with the same number tells that no run made them. */
  readonly looksSound?: boolean;
}
