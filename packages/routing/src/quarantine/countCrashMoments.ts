import type { CrashEvidence } from './crashEvidence.js';

/** Crashes closer together than this may have had one common cause outside of the requests. */
const MIN_SPACING_MS = 250;

/** Counts the separate moments at which targets crashed, each start of a target once. */
export const countCrashMoments = (evidence: readonly CrashEvidence[]): number => {
  const crashed = new Set<string>();
  let moments = 0;
  let latestMs = -Infinity;
  for (const { targetStart, atMs } of evidence) {
    if (!crashed.has(targetStart) && atMs - latestMs >= MIN_SPACING_MS) {
      moments += 1;
      latestMs = atMs;
    }
    crashed.add(targetStart);
  }
  return moments;
};
