/** Memory of a target that is kept for a waiting request which is due and does not fit yet. */
export interface MemoryHold {
  readonly requestId: number;
  readonly targetId: string;
  readonly tokens: number;
  /** In milliseconds of the monotonic clock. */
  readonly untilMs: number;
}
