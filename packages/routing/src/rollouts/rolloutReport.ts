import type { OutcomeCounts } from './outcomeCounts.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** What an entry tells the others about a roll-out. */
export interface RolloutReport {
  readonly status: RolloutStatus;
  /** The time since the roll-out started, as far as the entry knows, in milliseconds. */
  readonly ageMs: number;
  /** The entry read the order when it was given, so that its clock has no part in `ageMs`. */
  readonly isAgeObserved?: boolean;
  /** The entry has judged the version bad, or has heard so, and sends nothing to it. */
  readonly isJudgedBad: boolean;
  /** Requests that the entry has in flight at old targets. */
  readonly oldInFlight: number;
  /** The entry's responses since the start, by kind of request. */
  readonly outcomes: Readonly<Record<string, OutcomeCounts>>;
}
