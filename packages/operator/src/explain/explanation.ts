/** What became of a request, and why. */
export interface Explanation {
  readonly outcome: string;
  readonly cause: string;
}
