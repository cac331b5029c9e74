import type { AnswerHead } from '../../src/index.js';

/** The head of the response of a full target, which did not run the request. */
export const NOT_RUN_HEAD: AnswerHead = {
  status: 503,
  isSealed: false,
  isNotRun: true,
  isForeign: false,
  isLeaving: false,
};
