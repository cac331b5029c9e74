import type { Observation } from '@parsleyhall/routing';
import type { ProcessLogEvent } from './processLogEvent.js';

/** Writes a router's log events; never blocks. */
export interface Logger {
  /** Logs an event of the process itself. */
  readonly write: (line: ProcessLogEvent) => void;
  /** Logs a decision of the scheduler. */
  readonly writeDecision: (line: Observation) => void;
}
