import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { PlannedCall } from '../src/load/plannedCall.js';
import { BUREAU } from '../src/workload/bureau.js';
import { drawSchedule } from '../src/workload/drawSchedule.js';
import { getWorkCostMs } from '../src/workload/getWorkCostMs.js';
import { NILEGATE } from '../src/workload/nilegate.js';

const withoutKey = ({ work, ...call }: PlannedCall): unknown => ({
  ...call,
  work: work.type === 'service' ? { ...work, idempotencyKey: undefined } : work,
});

const describe = (calls: readonly PlannedCall[]): string => JSON.stringify(calls.map(withoutKey));

test('a seed gives the same calls in order of time and the work that the load asks for', () => {
  fc.assert(
    fc.property(
      fc.constantFrom(NILEGATE, BUREAU),
      fc.constantFrom(0.7, 1.3, 2),
      fc.integer({ min: 1, max: 1_000 }),
      (deployment, load, seed) => {
        const durationMs = 20_000;
        const burst = { from: 0, until: 0, factor: 1 };
        const plan = { deployment, load, durationMs, timeScale: 2, seed, burst };
        const calls = drawSchedule(plan);
        expect(describe(drawSchedule(plan))).toBe(describe(calls));
        const times = calls.map(({ atMs }) => atMs);
        expect(times.every((atMs, place) => atMs >= (times[place - 1] ?? 0))).toBe(true);
        expect(new Set(calls.map(({ label }) => label)).size).toBe(calls.length);
        const speed = deployment.engineSpeeds.reduce((sum, one) => sum + one, 0);
        const costMs = calls.reduce((sum, { work }) => sum + getWorkCostMs(work), 0);
        const asked = costMs / (durationMs * plan.timeScale * speed);
        expect(Math.abs(asked / (load * 0.93) - 1)).toBeLessThan(0.1);
      },
    ),
    { seed: 1, numRuns: 6 },
  );
});
