import type { Candidate } from './candidate.js';

/** Added for a target in another data centre, in milliseconds. */
const DISTANCE_MS = 3;
/** How many times its duration a send that fails costs its caller. */
const FAILURE_FACTOR = 4;
/** By how much a full target is slower than an empty one. */
const FULL_SLOWDOWN = 0.5;

/** What a request would cost at a target, in milliseconds; only the order of costs counts. */
export const predictCost = ({
  candidate: { target, totalInFlight },
  poolPaceMs,
  nominalMs,
  prefillMsPerToken,
  dataCentre,
}: {
  readonly candidate: Candidate;
  readonly poolPaceMs: number | undefined;
  /** What the request takes at a middling target, alone. */
  readonly nominalMs: number;
  readonly prefillMsPerToken: number;
  readonly dataCentre: string;
}): number => {
  const slowness =
    target.paceMs === undefined || poolPaceMs === undefined ? 1 : target.paceMs / poolPaceMs;
  const fullness = totalInFlight / Math.max(1, target.listed.slots);
  const aheadMs = target.prefillTokens * prefillMsPerToken;
  const runMs = (nominalMs * (1 + FULL_SLOWDOWN * fullness) + aheadMs) * slowness;
  const distanceMs = target.listed.dataCentre === dataCentre ? 0 : DISTANCE_MS;
  return runMs * (1 + FAILURE_FACTOR * target.failureShare) + distanceMs;
};
