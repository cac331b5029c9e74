import type { EngineStats } from '@parsleyhall/stand-ins';
import type { CallOutcome } from '../load/callOutcome.js';

/** All that was seen in one run. */
export interface RunRecord {
  readonly outcomes: readonly CallOutcome[];
  /** Counters of the engines over the run. */
  readonly engines: readonly EngineStats[];
  /** Runs of the plain services by idempotency key, over all of them. */
  readonly serviceRunsByKey: Readonly<Record<string, number>>;
  /** Mean share of the engines' time without a step while calls arrived, from 0 to 1. */
  readonly idleShare: number;
  /** Engine milliseconds in a wall millisecond. */
  readonly timeScale: number;
}
