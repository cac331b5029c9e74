import type { FaultKind } from './faultKind.js';

/** One failure or operators' action as data; what a kind does not need it ignores. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  /** How long it lasts, in milliseconds. */
  readonly forMs: number;
  /** Index of the entry concerned. */
  readonly entry: number;
  /** Index of the side process concerned. */
  readonly side: number;
  /** Chooses among the ways in which the failure can happen. */
  readonly variant: number;
}
