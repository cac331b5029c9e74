import type { ServedShare } from './servedShare.js';

/** The share of a group's recent requests that were sent; `prior` counts as one request, so that few say little. */
export const getSentShare = (share: ServedShare | undefined, prior: number): number =>
  share === undefined ? prior : (share.sent + prior) / (share.arrived + 1);
