import type { SharedQuarantine } from './sharedQuarantine.js';

/** What an entry tells the others about prompt parts that crash targets. All ages are in milliseconds. */
export interface PromptReport {
  /** Requests that broke off at a crash which this entry observed. */
  readonly evidence: readonly {
    readonly targetStart: string;
    readonly ageMs: number;
    readonly parts: readonly string[];
  }[];
  /** How long ago this entry saw a target answer a request with the part, by part. */
  readonly cleared: Readonly<Record<string, number>>;
  readonly quarantines: readonly SharedQuarantine[];
}
