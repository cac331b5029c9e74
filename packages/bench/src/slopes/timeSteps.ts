import { Bench } from 'tinybench';
import type { Scenario } from './scenario.js';
import type { ScenarioSize } from './scenarioSize.js';
import type { SlopeRow } from './slopeRow.js';

const MICROSECONDS_PER_MS = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

interface TimedScenario {
  readonly role: SlopeRow['role'];
  readonly dimension: keyof ScenarioSize;
  readonly size: number;
  readonly scenario: Scenario;
  /** Time for each step, in milliseconds. */
  readonly timeMs: number;
}

/** Times the steps of a scenario; the figure is the median. */
export const timeSteps = async (timed: TimedScenario): Promise<readonly SlopeRow[]> => {
  const { role, dimension, size, scenario, timeMs } = timed;
  const bench = new Bench({ time: timeMs, warmupTime: timeMs / 4 });
  scenario.steps.forEach(({ name, run }) => bench.add(name, run));
  await bench.run();
  return scenario.steps.map(({ name, events }) => {
    const result = bench.getTask(name)?.result;
    const medianMs = result !== undefined && 'latency' in result ? result.latency.p50 : Number.NaN;
    const microsecondsPerEvent = (medianMs * MICROSECONDS_PER_MS) / events;
    return {
      role,
      step: name,
      dimension,
      size,
      microsecondsPerEvent,
      eventsPerSecond: MICROSECONDS_PER_SECOND / microsecondsPerEvent,
    };
  });
};
