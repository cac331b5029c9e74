/** What this entry has sent to the targets of a service in another data centre. */
export interface Crossing {
  /** The data centre has room for requests from outside. */
  readonly isOpen: boolean;
  /** When the current period began, in milliseconds of the monotonic clock. */
  readonly periodStartMs: number;
  /** Requests sent there in the current period. */
  readonly sent: number;
}
