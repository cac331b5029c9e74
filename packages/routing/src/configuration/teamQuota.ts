/** The rate limit of a team, for all entries together. */
export interface TeamQuota {
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
  /** The cost of a request that does not state its tokens. */
  readonly plainTokens: number;
}
