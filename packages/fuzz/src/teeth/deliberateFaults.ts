import { ANSWER_FAULTS } from './answerFaults.js';
import type { DeliberateFault } from './deliberateFault.js';
import { DISPATCH_FAULTS } from './dispatchFaults.js';
import { KEY_FAULTS } from './keyFaults.js';
import { OPERATION_FAULTS } from './operationFaults.js';

/** Every deliberate fault that the oracle has to catch. */
export const DELIBERATE_FAULTS: readonly DeliberateFault[] = [
  ...DISPATCH_FAULTS,
  ...ANSWER_FAULTS,
  ...KEY_FAULTS,
  ...OPERATION_FAULTS,
];
