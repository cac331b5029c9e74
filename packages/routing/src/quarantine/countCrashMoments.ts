import type { CrashEvidence } from './crashEvidence.js';
import { getCrashes } from './getCrashes.js';

/** Crashes closer together than this count once. */
const MIN_SPACING_MS = 250;
/** Crashes this close together may have a common cause outside of the requests. */
const TOGETHER_MS = 150;
/** The share of the crashes at about the same time at which a request with the cause must have been. */
const MIN_EXPLAINED_SHARE = 0.5;

const countNear = (crashes: readonly CrashEvidence[], { atMs }: CrashEvidence): number =>
  crashes.filter((crash) => Math.abs(crash.atMs - atMs) <= TOGETHER_MS).length;

/**
 * Counts the separate moments at which targets crashed by the evidence against a prompt part, the oldest first. Where
 * several targets crashed together, the part must have been at most of them: one that was at a few was only beside it.
 */
export const countCrashMoments = (
  evidence: readonly CrashEvidence[],
  allCrashes: readonly CrashEvidence[],
): number => {
  const crashes = getCrashes(evidence);
  const explained = crashes.filter(
    (crash) => countNear(crashes, crash) >= MIN_EXPLAINED_SHARE * countNear(allCrashes, crash),
  );
  let latestMs = -Infinity;
  return explained.filter(({ atMs }) => {
    const isSeparate = atMs - latestMs >= MIN_SPACING_MS;
    latestMs = isSeparate ? atMs : latestMs;
    return isSeparate;
  }).length;
};
