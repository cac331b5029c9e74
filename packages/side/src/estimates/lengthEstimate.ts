/** Learned length of the answers of one team and kind of work. */
export interface LengthEstimate {
  /** Moving mean of the decode tokens. */
  readonly decodeTokens: number;
  readonly samples: number;
}
