/** What a team may use, over all entries together. */
export interface TeamQuota {
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
  /** What a request counts as that tells no tokens. */
  readonly plainTokens: number;
}
