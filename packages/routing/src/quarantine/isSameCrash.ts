import type { CrashEvidence } from './crashEvidence.js';

/** No target is back sooner after a crash; a list that states no start times does not tell two starts apart. */
const MIN_RESTART_MS = 2_000;

/** Whether two sends broke off at the same crash. */
export const isSameCrash = (left: CrashEvidence, right: CrashEvidence): boolean =>
  left.targetStart === right.targetStart && Math.abs(left.atMs - right.atMs) < MIN_RESTART_MS;
