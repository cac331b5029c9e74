import type { PolicyName } from '../policies/policyName.js';
import type { Deployment } from '../workload/deployment.js';
import type { FaultName } from './faultName.js';

/** What to measure. */
export interface MeasureOptions {
  readonly deployment: Deployment;
  readonly load: number;
  readonly fault: FaultName;
  /** Policies to run one after the other on the same arrivals. */
  readonly policies: readonly PolicyName[];
  /** Decisions that late binding does without, with commas between. */
  readonly without: string;
  readonly seed: number;
  /** Length of the arrivals of one run, in wall milliseconds. */
  readonly durationMs: number;
  /** Engine milliseconds in a wall millisecond. */
  readonly timeScale: number;
  /** Settings of entries and side processes that differ from their defaults. */
  readonly entrySettings: Readonly<Record<string, unknown>>;
  readonly sideSettings: Readonly<Record<string, unknown>>;
  /** File to write the figures to, if any. */
  readonly jsonFile: string | undefined;
}
