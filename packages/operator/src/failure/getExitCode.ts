import type { OperatorFailure } from './operatorFailure.js';

/** Exit code of a failed command: 1 when it ran and failed, 2 on a usage error. */
export const getExitCode = (failure: OperatorFailure): number =>
  failure.type === 'badUse' ? 2 : 1;
