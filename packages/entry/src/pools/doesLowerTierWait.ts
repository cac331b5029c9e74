import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryState } from '../entryState.js';
import { getUsableSides } from './getUsableSides.js';

/** True while a side process says that it holds a waiting reservation of a lower tier, from whichever entry. */
export const doesLowerTierWait = (state: EntryState, request: ArrivedRequest): boolean =>
  getUsableSides(state, request).some(({ digest }) =>
    digest?.waitingByTier.some((waiting, index) => index >= request.tier && waiting > 0),
  );
