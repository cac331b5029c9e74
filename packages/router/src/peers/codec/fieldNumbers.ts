/** Numbers of the fields of a frame's content; a reader skips the ones that it does not know. */
export const FIELD_NUMBERS = {
  sequence: 1,
  configurationVersion: 2,
  flags: 3,
  inFlight: 4,
  quotaTaken: 5,
  rareParts: 6,
  wantsDirect: 7,
  knownAddresses: 8,
  heldTokens: 9,
  pendingTokens: 10,
} as const;
