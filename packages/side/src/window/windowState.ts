/** What the target may be given at once, as learned from what this process sees. */
export interface WindowState {
  /** Requests, with the fraction that growth by small steps leaves. */
  readonly requests: number;
  /** Prefill and decode tokens; infinite until a limit was met. */
  readonly tokens: number;
  /** True until the window has met its first limit: it grows faster until then. */
  readonly isStarting: boolean;
  readonly changedAtMs: number;
  /** Time since which tokens have been overdue, in milliseconds; undefined while they come. */
  readonly stalledSinceMs: number | undefined;
  /** Shortest response time of a service that holds, in milliseconds. */
  readonly idleResponseMs: number;
}
