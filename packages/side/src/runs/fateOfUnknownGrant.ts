import type { GrantFate } from '@parsleyhall/protocol';

/** What is known of a grant that is neither outstanding nor kept as a run. */
interface UnknownGrant {
  readonly isOfThisIncarnation: boolean;
  readonly wasUsed: boolean;
  /** True when it is so old that its use may have been forgotten. */
  readonly isForgotten: boolean;
}

/** The fate of a grant that is neither outstanding nor kept; another incarnation's is asked of the target. */
export const fateOfUnknownGrant = (grant: UnknownGrant): GrantFate | 'askTarget' => {
  if (!grant.isOfThisIncarnation) {
    return 'askTarget';
  }
  return grant.wasUsed || grant.isForgotten ? 'unknown' : 'neverReceived';
};
