/** How the bodies of a connection's requests are read. */
export interface BodyReading {
  /** Whether each part of a body that is parsed now is taken at once. */
  readonly isReadAtOnce: () => boolean;
  /** Whether parts of bodies have been parsed that nobody has taken. */
  readonly hasUnread: () => boolean;
}
