import type { ReportRow } from '@parsleyhall/clients';

/** One row of an entry's summary with the objective and price under which it arose. */
export interface BurnSample {
  readonly row: ReportRow;
  /** End of the summary on the wall clock, in milliseconds. */
  readonly toMs: number;
  readonly objective: number;
  readonly pricePerMillionPrefillTokens: number;
}
