/** A target as the platform's list has it. */
export interface ListedTarget {
  /** New with each start of the target. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** It takes no new work and will go away. */
  readonly isLeaving: boolean;
}
