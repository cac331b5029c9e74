import type { ReportRow } from '@parsleyhall/clients';

/** One row of an entry's report record, with the objective and price that applied to it. */
export interface BurnSample {
  readonly row: ReportRow;
  /** End of the record's period on the wall clock, in milliseconds. */
  readonly toMs: number;
  readonly objective: number;
  readonly pricePerMillionPrefillTokens: number;
}
