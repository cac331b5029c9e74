import fc from 'fast-check';
import { WORLD_SETTINGS } from '../world/worldSettings.js';
import type { Arrival } from './arrival.js';

const KEYED_OPERATIONS = 3;

const LATEST_HANG_UP_MS = 400;

const newRareArbitrary = <Value>(
  arbitrary: fc.Arbitrary<Value>,
  absentToOne: number,
): fc.Arbitrary<Value | undefined> =>
  fc.oneof({ weight: absentToOne, arbitrary: fc.constant(undefined) }, { weight: 1, arbitrary });

/** Arrivals of any tier; those that are keyed go to the services. */
export const newArrivalArbitrary = ({
  shortestDeadlineMs,
  mayHangUp,
}: {
  readonly shortestDeadlineMs: number;
  readonly mayHangUp: boolean;
}): fc.Arbitrary<Arrival> =>
  fc
    .record({
      atMs: fc.nat(WORLD_SETTINGS.scheduleMs),
      entry: fc.nat(WORLD_SETTINGS.entries - 1),
      isEngine: fc.boolean(),
      tier: fc.constantFrom(1 as const, 2 as const, 3 as const, 4 as const),
      team: fc.nat(1),
      chunks: fc.integer({ min: 1, max: 8 }),
      deadlineMs: fc.integer({ min: shortestDeadlineMs, max: WORLD_SETTINGS.longestDeadlineMs }),
      keyed: newRareArbitrary(fc.nat(KEYED_OPERATIONS - 1), 1),
      hangsUpAfterMs: mayHangUp
        ? newRareArbitrary(fc.integer({ min: 1, max: LATEST_HANG_UP_MS }), 4)
        : fc.constant(undefined),
    })
    .map(({ isEngine, ...arrival }) => ({
      ...arrival,
      kind: isEngine && arrival.keyed === undefined ? 'engine' : 'service',
    }));
