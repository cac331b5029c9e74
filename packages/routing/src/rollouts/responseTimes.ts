/** How long a response has taken so far. */
export interface ResponseTimes {
  /** In milliseconds. */
  readonly tookMs: number;
  /** The same as a multiple of what is expected for the length of the prompt and the output. */
  readonly ratio: number;
}
