/** One transmission of a request to a target. Moments are in milliseconds of the monotonic clock. */
export interface Send {
  readonly sendId: number;
  readonly targetId: string;
  readonly sentAtMs: number;
  /** Predicted at the start: until the first event of a stream, or the complete non-streaming response. */
  readonly predictedFirstMs: number;
  /** The version of the target's software; undefined if the list does not state it. */
  readonly targetVersion?: string;
  /** The response was counted for a roll-out before its end. */
  readonly isOutcomeCounted?: true;
  /** When the first bytes of the response's body arrived; undefined before. */
  readonly firstByteAtMs?: number;
  /** When the latest bytes of the response arrived; the start of the send before any arrive. */
  readonly lastByteAtMs: number;
  /** The factor on the target's usual work time at the start; undefined if the target reports none. */
  readonly workTimeFactor?: number;
  /** HTTP status of the target's response, once its head has arrived. */
  readonly status?: number;
  /** The media type of the response's body; undefined if the target states none. */
  readonly mediaType?: string;
  /** Whether the response has a length or chunks; undefined before its head has arrived. */
  readonly isFramed?: boolean;
  /** The longest pause after the first bytes, in milliseconds; undefined until there was one. */
  readonly longestGapMs?: number;
  /** Whether an earlier send of the request may have run. */
  readonly mayHaveRunBefore: boolean;
}
