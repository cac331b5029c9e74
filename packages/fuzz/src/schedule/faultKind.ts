import type { FAULT_KINDS } from './faultKinds.js';

/** One kind of failure or of operators' action. */
export type FaultKind = (typeof FAULT_KINDS)[number];
