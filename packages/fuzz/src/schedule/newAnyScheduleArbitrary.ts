import fc from 'fast-check';
import { FAULT_KINDS } from './faultKinds.js';
import { newCalmScheduleArbitrary } from './newCalmScheduleArbitrary.js';
import { newScheduleArbitrary } from './newScheduleArbitrary.js';
import type { Schedule } from './schedule.js';

/** Schedules with each failure alone, in pairs or any together, and calm ones. */
export const newAnyScheduleArbitrary = (): fc.Arbitrary<Schedule> => {
  const kind = fc.constantFrom(...FAULT_KINDS);
  return fc.oneof(
    { weight: 8, arbitrary: fc.tuple(kind, kind).chain((kinds) => newScheduleArbitrary(kinds)) },
    { weight: 8, arbitrary: newScheduleArbitrary(FAULT_KINDS) },
    { weight: 1, arbitrary: newCalmScheduleArbitrary() },
  );
};
