import type { StoredBody } from '../memory/storedBody.js';

/** A request as it is sent to a target. */
export interface TargetRequest {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: StoredBody;
  /** Whether no other request may share the connection, before or after. */
  readonly needsOwnConnection: boolean;
  /** Called when the first byte is sent. */
  readonly recordFirstByteSent: () => void;
}
