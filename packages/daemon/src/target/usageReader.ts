/** Reads tokens and usage out of an answer's bytes as they pass. */
export interface UsageReader {
  /** Takes the next bytes and returns the number of token events that they complete. */
  readonly take: (bytes: Uint8Array) => number;
  /** What the whole answer cost, as far as it says. */
  readonly getUsage: () => { readonly prefillTokens: number; readonly decodeTokens: number };
}
