/** What is predicted of a request that would wait now, in milliseconds. */
export interface Placement {
  /** Waiting requests that are started before it. */
  readonly ahead: number;
  /** Infinite where more urgent work takes all. */
  readonly waitMs: number;
  /** From its start to its first event. */
  readonly prefillMs: number;
}
