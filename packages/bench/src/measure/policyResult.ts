import type { PolicyName } from '../policies/policyName.js';
import type { ProcessCost } from '../report/processCost.js';
import type { RunReport } from '../report/runReport.js';

/** What a policy did on the arrivals. */
export interface PolicyResult {
  readonly policy: PolicyName;
  readonly report: RunReport;
  readonly processes: readonly ProcessCost[];
  /** Runs that a drained target began after the time allowed; undefined without a drain. */
  readonly workAfterDrain: number | undefined;
  /** Wall time of the whole run with start and end, in milliseconds. */
  readonly elapsedMs: number;
}
