import { expect, test } from 'vitest';
import { catchFault } from '../src/teeth/catchFault.js';
import { DELIBERATE_FAULTS } from '../src/teeth/deliberateFaults.js';
import type { PromiseName } from '../src/oracle/promiseName.js';

const SEED = 1;
const RUNS = 150;

test.each(DELIBERATE_FAULTS)('$promise is seen broken by $name', (fault) => {
  const runs = catchFault(fault, { seed: SEED, runs: RUNS });
  console.log(`${fault.promise}: ${fault.name}: caught in ${String(runs)} runs`);
  expect(runs).toBeDefined();
});

test('every promise has at least two deliberate faults', () => {
  const counts = new Map<PromiseName, number>();
  for (const { promise } of DELIBERATE_FAULTS) {
    counts.set(promise, (counts.get(promise) ?? 0) + 1);
  }
  expect(counts.size).toBe(10);
  expect(Math.min(...counts.values())).toBeGreaterThanOrEqual(2);
});
