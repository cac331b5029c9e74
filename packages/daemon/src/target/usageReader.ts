/** Counts tokens and reads the reported usage in the bytes of a response as they are relayed. */
export interface UsageReader {
  /** Reads the next bytes and returns the number of token events that they complete. */
  readonly feed: (bytes: Uint8Array) => number;
  /** Token counts of the whole response, as far as it reports them. */
  readonly getUsage: () => { readonly prefillTokens: number; readonly decodeTokens: number };
}
