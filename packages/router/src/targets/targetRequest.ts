/** A request as it is sent to a target. */
export interface TargetRequest {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Called when the first byte is sent. */
  readonly recordFirstByteSent: () => void;
}
