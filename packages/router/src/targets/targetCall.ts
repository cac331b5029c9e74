/** A request as it goes to a target. */
export interface TargetCall {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Its first byte leaves now. */
  readonly noteLeft: () => void;
}
