import type { ReportRow } from '@parsleyhall/clients';
import type { CallerOutcome } from '../callers/callerOutcome.js';

/** Accumulates the outcomes of callers' requests for the next report record. */
export interface ReportAccumulator {
  readonly add: (outcome: CallerOutcome) => void;
  /** Returns the rows accumulated since the last call and starts again with none. */
  readonly flushRows: () => readonly ReportRow[];
}
