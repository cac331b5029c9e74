/** How much of a target's answer has reached this entry. */
export interface AnswerProgress {
  readonly isHeadSent: boolean;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bytesReceived: number;
  readonly firstByteAtMs: number | undefined;
  readonly lastByteAtMs: number;
  /** The body so far, for the record of an idempotency key; undefined when it is not needed or too large. */
  readonly kept: readonly Uint8Array[] | undefined;
}
