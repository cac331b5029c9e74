import fc from 'fast-check';
import type { FaultKind } from './faultKind.js';
import { newArrivalArbitrary } from './newArrivalArbitrary.js';
import { newFaultArbitrary } from './newFaultArbitrary.js';
import type { Schedule } from './schedule.js';

const SHORTEST_DEADLINE_MS = 100;
const MOST_ARRIVALS = 24;
const MOST_FAULTS = 5;
const MOST_DELAY_SEED = 1_000_000;

/** Schedules with failures of the kinds given. */
export const newScheduleArbitrary = (kinds: readonly FaultKind[]): fc.Arbitrary<Schedule> =>
  fc.record({
    delaySeed: fc.nat(MOST_DELAY_SEED),
    arrivals: fc.array(
      newArrivalArbitrary({ shortestDeadlineMs: SHORTEST_DEADLINE_MS, mayHangUp: true }),
      { minLength: 1, maxLength: MOST_ARRIVALS, size: 'max' },
    ),
    faults: fc.array(newFaultArbitrary(kinds), {
      minLength: 1,
      maxLength: MOST_FAULTS,
      size: 'max',
    }),
  });
