import type { SideLink } from '@parsleyhall/entry';

/** Requests that a target has by the last report heard of it; reports age between digests. */
export const getReportedLoad = ({ digest }: SideLink): number =>
  digest === undefined
    ? 0
    : digest.runningRequests + digest.waitingByTier.reduce((sum, count) => sum + count, 0);
