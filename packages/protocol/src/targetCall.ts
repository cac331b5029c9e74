/** The call to make on the target, given with the request's body. */
export interface TargetCall {
  readonly method: string;
  /** Path with query on the target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** True when the answer is a stream of server-sent events. */
  readonly isStreaming: boolean;
  /** Offset of the claim in the log, for targets that check fencing numbers; absent for idempotent work. */
  readonly fencingOffset?: number;
}
