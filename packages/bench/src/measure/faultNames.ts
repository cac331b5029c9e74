import type { FaultName } from './faultName.js';

/** All faults that can be measured. */
export const FAULT_NAMES: readonly FaultName[] = [
  'none',
  'burst',
  'straggler',
  'kill-side',
  'kill-entry',
  'log-outage',
  'drain',
];
