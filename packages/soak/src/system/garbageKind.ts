/** Bytes that are no part of the stream in which a target sends them. */
export interface GarbageKind {
  /** Writes them where the next event of the stream has this number. */
  readonly write: (next: number) => string;
  /** Whether a stream whose events need no numbers may begin with them. */
  readonly mayBeFirst: boolean;
}
