/** The requests that this entry has sent to a target since a digest, less those that have ended there since. */
export interface NetSends {
  /** Sequence number of the digest. */
  readonly sequence: number;
  readonly count: number;
}
