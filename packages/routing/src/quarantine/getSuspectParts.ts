import type { Map } from 'immutable';
import type { Quarantine } from './quarantine.js';
import type { Suspicion } from './suspicion.js';

/** The parts of a quarantine that were not cleared since it was decided. */
export const getSuspectParts = (
  { parts, decidedAtMs }: Quarantine,
  suspicions: Map<string, Suspicion>,
): readonly string[] =>
  parts.filter((part) => (suspicions.get(part)?.clearedAtMs ?? -Infinity) <= decidedAtMs);
