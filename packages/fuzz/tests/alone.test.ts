import fc from 'fast-check';
import { expect, test } from 'vitest';
import { findViolations } from '../src/findViolations.js';
import { FAULT_KINDS } from '../src/schedule/faultKinds.js';
import { newCalmScheduleArbitrary } from '../src/schedule/newCalmScheduleArbitrary.js';
import { newScheduleArbitrary } from '../src/schedule/newScheduleArbitrary.js';

const SEED = 1;
const CALM_RUNS = 40;
const RUNS = 8;

test('without failures every request is answered whole', () => {
  const property = fc.property(newCalmScheduleArbitrary(), (schedule) => {
    expect(findViolations(schedule)).toEqual([]);
  });
  fc.assert(property, { seed: SEED, numRuns: CALM_RUNS });
});

test.each(FAULT_KINDS)('every promise holds under %s', (kind) => {
  const property = fc.property(newScheduleArbitrary([kind]), (schedule) => {
    expect(findViolations(schedule)).toEqual([]);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});
