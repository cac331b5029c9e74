import type { Simulation } from './simulation.js';

/** Creates virtual time at zero. */
export const createSimulation = (): Simulation => {
  const calendar = new Map<number, (() => void)[]>();
  let nowMs = 0;
  const schedule = (afterMs: number, step: () => void): void => {
    const atMs = nowMs + Math.max(0, Math.round(afterMs));
    const steps = calendar.get(atMs);
    if (steps === undefined) {
      calendar.set(atMs, [step]);
      return;
    }
    steps.push(step);
  };
  const runUntil = (endMs: number): void => {
    for (; nowMs <= endMs; nowMs += 1) {
      // Steps may add to the list while it is walked.
      for (const step of calendar.get(nowMs) ?? []) {
        step();
      }
      calendar.delete(nowMs);
    }
  };
  return { getNowMs: () => nowMs, schedule, runUntil };
};
