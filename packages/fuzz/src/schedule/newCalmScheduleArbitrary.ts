import fc from 'fast-check';
import { newArrivalArbitrary } from './newArrivalArbitrary.js';
import type { Schedule } from './schedule.js';

const SHORTEST_DEADLINE_MS = 1_200;
const MOST_ARRIVALS = 8;
const MOST_DELAY_SEED = 1_000_000;

/** Schedules with few requests and without failures. */
export const newCalmScheduleArbitrary = (): fc.Arbitrary<Schedule> =>
  fc.record({
    delaySeed: fc.nat(MOST_DELAY_SEED),
    arrivals: fc.array(
      newArrivalArbitrary({ shortestDeadlineMs: SHORTEST_DEADLINE_MS, mayHangUp: false }),
      { minLength: 1, maxLength: MOST_ARRIVALS, size: 'max' },
    ),
    faults: fc.constant([]),
  });
