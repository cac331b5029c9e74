import type { PolicyName } from './policyName.js';

/** All policies that can be measured. */
export const POLICY_NAMES: readonly PolicyName[] = [
  'late-binding',
  'round-robin',
  'two-choices',
  'least-loaded-report',
];
