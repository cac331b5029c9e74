/** A target as it appears in the platform's list of targets. */
export interface ListedTarget {
  /** Usually changes with each start of the target. */
  readonly id: string;
  /** When it started, in milliseconds since 1970 by its own clock; undefined if the list does not state it. */
  readonly startedAtMs?: number;
  readonly service: string;
  /** The version of its software; undefined if the list does not state it. */
  readonly version?: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** It is draining: it accepts no new work and will shut down. */
  readonly isLeaving: boolean;
}
