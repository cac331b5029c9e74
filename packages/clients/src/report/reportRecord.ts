import type { ReportRow } from './reportRow.js';

/** The summary that an entry appends to the report stream, once a minute while there is something to tell. */
export interface ReportRecord {
  readonly type: 'report';
  readonly entry: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Span of the summary on the entry's wall clock, in milliseconds. */
  readonly fromMs: number;
  readonly toMs: number;
  readonly configurationVersion: number;
  readonly presetInForce: string;
  readonly rows: readonly ReportRow[];
}
