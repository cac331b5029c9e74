import type { Run } from './run.js';
import { isRunActive } from './isRunActive.js';

const NEARLY_DONE_TOKENS = 8;

/** Whether to cancel a run whose caller hung up: it may be repeated and enough is left to do. */
export const shouldCancel = (run: Run): boolean => {
  if (run.work.isNonIdempotent || !isRunActive(run)) {
    return false;
  }
  return !run.isPrefilled || run.work.decodeTokens - run.tokens > NEARLY_DONE_TOKENS;
};
