import type { Map } from 'immutable';
import type { Quarantine } from './quarantine.js';
import type { Suspicion } from './suspicion.js';

/** What an entry knows about prompt parts that crash targets. Moments are in milliseconds of the monotonic clock. */
export interface PromptFaults {
  /** By prompt part. */
  readonly suspicions: Map<string, Suspicion>;
  /** When this entry last saw a target answer a request with the part, by part; only recent ones. */
  readonly answeredAtMs: Map<string, number>;
  /** By the key of their parts. */
  readonly quarantines: Map<string, Quarantine>;
  /** There is evidence that was not weighed yet. */
  readonly isDecisionDue: boolean;
  /** Something changed since the latest report to the other entries. */
  readonly isReportDue: boolean;
  readonly reportedAtMs: number;
  /** The quarantines changed since they were last persisted. */
  readonly isPersistenceDue: boolean;
  readonly persistedAtMs: number;
}
