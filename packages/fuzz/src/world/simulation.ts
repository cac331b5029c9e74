/** Virtual time: steps run in the order of their time, in whole milliseconds, and of their scheduling. */
export interface Simulation {
  readonly getNowMs: () => number;
  readonly schedule: (afterMs: number, step: () => void) => void;
  readonly runUntil: (endMs: number) => void;
}
