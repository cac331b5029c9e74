import type { Run } from './run.js';
import { isRunActive } from './isRunActive.js';

/** Whether to cancel a run whose caller hung up: when more is left to do than has been done. */
export const shouldCancel = (run: Run): boolean => {
  if (run.work.isNonIdempotent || !isRunActive(run)) {
    return false;
  }
  const spent = run.firstTokenAtMs === undefined ? 0 : run.work.prefillTokens;
  const left = Math.max(0, run.work.decodeTokens - run.tokens);
  return run.firstTokenAtMs === undefined || left > 0 || spent === 0;
};
