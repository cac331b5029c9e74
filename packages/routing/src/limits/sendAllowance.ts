/** The sends to a limited target that this entry may make. */
export interface SendAllowance {
  /** This entry's share of the limit, in sends per second. */
  readonly perSecond: number;
  /** Sends that it may make at once; it sends with at least 1. */
  readonly sends: number;
  /** The live entries among which the limit was divided, and the limit; the share is computed again if they change. */
  readonly dividedFor: string;
}
