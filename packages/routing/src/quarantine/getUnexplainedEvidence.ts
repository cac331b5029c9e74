import type { Map } from 'immutable';
import type { CrashEvidence } from './crashEvidence.js';
import { isSameCrash } from './isSameCrash.js';
import type { Quarantine } from './quarantine.js';
import type { Suspicion } from './suspicion.js';

/**
 * The confirmed evidence against each part, without crashes that a request under quarantine explains: the others that
 * broke off there were only beside it.
 */
export const getUnexplainedEvidence = (
  suspicions: Map<string, Suspicion>,
  quarantines: Map<string, Quarantine>,
): Map<string, readonly CrashEvidence[]> => {
  const isExplained = ({ parts }: CrashEvidence): boolean =>
    quarantines.some((quarantine) => quarantine.parts.every((part) => parts.includes(part)));
  const explained = [...suspicions.values()].flatMap(({ evidence }) =>
    evidence.filter(isExplained),
  );
  return suspicions.map(({ evidence }) =>
    evidence.filter(
      (item) => item.isConfirmed && !explained.some((other) => isSameCrash(other, item)),
    ),
  );
};
