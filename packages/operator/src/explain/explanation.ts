/** Outcome of a request and its cause, as text. */
export interface Explanation {
  readonly outcome: string;
  readonly cause: string;
}
