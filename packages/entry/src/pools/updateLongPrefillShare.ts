import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryState } from '../entryState.js';
import { newPoolState } from './newPoolState.js';

const SMOOTHING_TOKENS = 200_000;

/** Follows the share of a pool's prefill tokens that long prefills bring, weighted by their size. */
export const updateLongPrefillShare = (
  state: EntryState,
  request: ArrivedRequest,
  longPrefillTokens: number,
): EntryState => {
  const pool = state.pools.get(request.pool) ?? newPoolState();
  const weight = Math.min(1, request.prefillTokens / SMOOTHING_TOKENS);
  const sample = request.prefillTokens >= longPrefillTokens ? 1 : 0;
  const longPrefillShare = pool.longPrefillShare + weight * (sample - pool.longPrefillShare);
  return { ...state, pools: state.pools.set(request.pool, { ...pool, longPrefillShare }) };
};
