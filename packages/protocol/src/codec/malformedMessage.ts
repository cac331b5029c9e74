/** Bytes of a peer that are no message of the protocol. */
export interface MalformedMessage {
  readonly type: 'malformedMessage';
  /** `undecodable` bytes are no protobuf message, an `empty` one has no body, an `invalid` one breaks a range. */
  readonly reason: 'undecodable' | 'empty' | 'invalid';
  /** Names of the fields at fault, for the log. */
  readonly fields: readonly string[];
}
