import type { Observation } from '@parsleyhall/routing';
import type { ProcessLine } from './processLine.js';

/** Writes a router's log lines; never waits. */
export interface LineWriter {
  readonly write: (line: ProcessLine) => void;
  readonly observe: (line: Observation) => void;
}
