import type { CrashEvidence } from './crashEvidence.js';
import { isSameCrash } from './isSameCrash.js';

/** One piece of evidence for each crash. */
export const getCrashes = (evidence: Iterable<CrashEvidence>): readonly CrashEvidence[] => {
  const crashes: CrashEvidence[] = [];
  for (const item of evidence) {
    if (!crashes.some((crash) => isSameCrash(crash, item))) {
      crashes.push(item);
    }
  }
  return crashes;
};
