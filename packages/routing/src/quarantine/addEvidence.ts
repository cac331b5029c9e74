import type { Map } from 'immutable';
import type { CrashEvidence } from './crashEvidence.js';
import { isSameCrash } from './isSameCrash.js';
import type { Suspicion } from './suspicion.js';

const MAX_SUSPECTED_PARTS = 256;
const MAX_EVIDENCE_PER_PART = 16;

const getLatestMs = ({ evidence, clearedAtMs }: Suspicion): number =>
  Math.max(evidence.at(-1)?.atMs ?? 0, clearedAtMs ?? 0);

const dropOldest = (suspicions: Map<string, Suspicion>): Map<string, Suspicion> => {
  if (suspicions.size <= MAX_SUSPECTED_PARTS) {
    return suspicions;
  }
  const [oldestPart] = [...suspicions].reduce((oldest, next) =>
    getLatestMs(next[1]) < getLatestMs(oldest[1]) ? next : oldest,
  );
  return suspicions.delete(oldestPart);
};

const isSameObservation = (left: CrashEvidence, right: CrashEvidence): boolean =>
  isSameCrash(left, right) && left.parts.join() === right.parts.join();

const addToPart = (
  suspicions: Map<string, Suspicion>,
  part: string,
  added: CrashEvidence,
): Map<string, Suspicion> => {
  const known = suspicions.get(part) ?? { evidence: [], isClearedHere: false };
  const isOutdated = known.clearedAtMs !== undefined && known.clearedAtMs >= added.atMs;
  if (isOutdated || known.evidence.some((other) => isSameObservation(other, added))) {
    return suspicions;
  }
  const evidence = [...known.evidence, added]
    .sort((left, right) => left.atMs - right.atMs)
    .slice(-MAX_EVIDENCE_PER_PART);
  return dropOldest(suspicions.set(part, { ...known, evidence }));
};

/** Adds evidence against each of its parts, but for parts that were cleared later; keeps the total bounded. */
export const addEvidence = (
  suspicions: Map<string, Suspicion>,
  added: CrashEvidence,
): Map<string, Suspicion> =>
  added.parts.reduce((current, part) => addToPart(current, part, added), suspicions);
