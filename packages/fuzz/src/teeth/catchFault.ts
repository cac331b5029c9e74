import fc from 'fast-check';
import { findViolations } from '../findViolations.js';
import { newCalmScheduleArbitrary } from '../schedule/newCalmScheduleArbitrary.js';
import { newScheduleArbitrary } from '../schedule/newScheduleArbitrary.js';
import type { DeliberateFault } from './deliberateFault.js';

/** Gives the number of runs after which a deliberate fault was caught breaking its promise; undefined when it was not. */
export const catchFault = (
  fault: DeliberateFault,
  { seed, runs }: { readonly seed: number; readonly runs: number },
): number | undefined => {
  const { kinds, promise, entry = {}, side = {} } = fault;
  const schedules = kinds.length === 0 ? newCalmScheduleArbitrary() : newScheduleArbitrary(kinds);
  const isKept = fc.property(schedules, (schedule) =>
    findViolations(schedule, { entry, side }).every((broken) => broken.promise !== promise),
  );
  const details = fc.check(isKept, { seed, numRuns: runs, endOnFailure: true });
  return details.failed ? details.numRuns : undefined;
};
