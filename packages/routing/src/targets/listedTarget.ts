/** A target as the platform's list has it. */
export interface ListedTarget {
  /** Mostly new with each start of the target. */
  readonly id: string;
  /** When it started, in milliseconds since 1970 by its own clock; undefined where the list does not say. */
  readonly startedAtMs?: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** It takes no new work and will go away. */
  readonly isLeaving: boolean;
}
