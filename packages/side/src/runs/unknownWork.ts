import type { TeamName } from '@parsleyhall/common';
import type { Work } from '../queue/work.js';

/** Stands for a run of an earlier incarnation, of which nothing is known but its id. */
export const UNKNOWN_WORK: Work = {
  tier: 1,
  team: '' as TeamName,
  kind: '',
  prefillTokens: 0,
  decodeTokens: 0,
  isLongPrefill: false,
  isNonIdempotent: true,
};
