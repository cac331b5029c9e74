import type { ReportRow } from './reportRow.js';

/** A summary that an entry appends to the report stream, once a minute if there is anything to report. */
export interface ReportRecord {
  readonly type: 'report';
  readonly entry: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Start of the reported period on the entry's wall clock, in milliseconds. */
  readonly fromMs: number;
  /** End of the reported period on the entry's wall clock, in milliseconds. */
  readonly toMs: number;
  readonly configurationVersion: number;
  readonly presetInForce: string;
  readonly rows: readonly ReportRow[];
}
