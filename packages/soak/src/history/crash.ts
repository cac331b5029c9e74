/** A crash of a target by a part of a prompt. */
export interface Crash {
  readonly part: string;
  readonly target: string;
  /** In milliseconds of the soak's monotonic clock. */
  readonly atMs: number;
}
