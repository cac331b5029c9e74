import type { CrashEvidence } from './crashEvidence.js';
import { isSameCrash } from './isSameCrash.js';

/** Crashes closer together than this may have had one common cause outside of the requests. */
const MIN_SPACING_MS = 250;

/** Counts the separate moments at which targets crashed, each crash once. The oldest evidence comes first. */
export const countCrashMoments = (evidence: readonly CrashEvidence[]): number =>
  evidence.reduce<readonly CrashEvidence[]>((counted, next) => {
    const latestMs = counted.at(-1)?.atMs ?? -Infinity;
    const isCounted = counted.some((other) => isSameCrash(other, next));
    return isCounted || next.atMs - latestMs < MIN_SPACING_MS ? counted : [...counted, next];
  }, []).length;
