import fc from 'fast-check';
import { expect, test } from 'vitest';
import { findViolations } from '../src/findViolations.js';
import { FAULT_KINDS } from '../src/schedule/faultKinds.js';
import { newScheduleArbitrary } from '../src/schedule/newScheduleArbitrary.js';

const SEED = 2;
const RUNS_PER_PAIR = 1;
const MIXED_RUNS = 60;

const PAIRS = FAULT_KINDS.flatMap((first, index) =>
  FAULT_KINDS.slice(index + 1).map((second) => [first, second] as const),
);

test.each(FAULT_KINDS)('every promise holds under each pair that %s begins', (kind) => {
  for (const pair of PAIRS.filter(([first]) => first === kind)) {
    const property = fc.property(newScheduleArbitrary(pair), (schedule) => {
      expect(findViolations(schedule)).toEqual([]);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS_PER_PAIR });
  }
});

test('every promise holds under all failures together', () => {
  const property = fc.property(newScheduleArbitrary(FAULT_KINDS), (schedule) => {
    expect(findViolations(schedule)).toEqual([]);
  });
  fc.assert(property, { seed: SEED, numRuns: MIXED_RUNS });
});
