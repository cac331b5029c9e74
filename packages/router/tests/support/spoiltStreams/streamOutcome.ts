/** What the caller of a stream received. */
export interface StreamOutcome {
  readonly status: number | undefined;
  /** Whether the response ended as a complete one does. */
  readonly isComplete: boolean;
  readonly body: string;
  /** The number of sends that it took. */
  readonly sends: number;
}
