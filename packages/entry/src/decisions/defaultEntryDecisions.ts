import { checkKeyAge } from '../keys/checkKeyAge.js';
import { choosePlacement } from './choosePlacement.js';
import type { EntryDecisions } from './entryDecisions.js';

/** The decisions that the product runs with. */
export const DEFAULT_ENTRY_DECISIONS: EntryDecisions = {
  choosePlacement,
  acceptsConfiguration: (current, offered) => offered.version > current.version,
  ownsKey: (state, attempt) => state?.owner?.attempt === attempt && state.done === undefined,
  mustReadBackClaim: () => true,
  checkKeyAge,
  settleBrokenGive: () => 'ask',
  settleUnknownFate: () => 'outcomeUnknown',
  isOwnGrant: ({ phase }, grantId) =>
    (phase.type === 'given' || phase.type === 'settling') && phase.grantId === grantId,
  mayGive: ({ phase }) => phase.type === 'waiting',
  getResumeByte: ({ answer }) => answer.bytesReceived,
  isWholeAnswer: (bytesReceived, totalBytes) => bytesReceived === totalBytes,
  shedsLowerTierFirst: () => true,
  shedsLowerTierElsewhereFirst: () => true,
  isDue: (dueAtMs, nowMs) => dueAtMs <= nowMs,
  mayStop: (unfinishedRequests) => unfinishedRequests === 0,
};
