import { countLiveEntries } from '../peers/countLiveEntries.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';

/** The part of its equal share of all memory that an entry can always regain, however little it uses now. */
const MIN_MEMORY_SHARE = 0.5;

/** The tokens of the targets' memory that this entry can count on to become free for its requests, per millisecond. */
export const getReleasedTokensPerMs = (
  state: RoutingState,
  service: string,
  candidates: readonly Candidate[],
  nowMs: number,
): number => {
  const ownTokens = candidates.reduce((sum, { target }) => sum + target.heldTokens, 0);
  const totalTokens = candidates.reduce((sum, { memory }) => sum + (memory?.totalTokens ?? 0), 0);
  const shareTokens = (MIN_MEMORY_SHARE * totalTokens) / countLiveEntries(state, nowMs);
  const { meanDurationMs } = getLatencyModel(state, service);
  return Math.max(ownTokens, shareTokens) / Math.max(1, meanDurationMs);
};
