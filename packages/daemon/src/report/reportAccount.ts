import type { ReportRow } from '@parsleyhall/clients';
import type { CallerOutcome } from '../callers/callerOutcome.js';

/** Adds up what became of the callers' requests until the next report. */
export interface ReportAccount {
  readonly add: (outcome: CallerOutcome) => void;
  /** The rows since the last call, which then start at nothing again. */
  readonly takeRows: () => readonly ReportRow[];
}
