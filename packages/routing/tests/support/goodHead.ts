import type { AnswerHead } from '../../src/index.js';

/** The head of a successful response. */
export const GOOD_HEAD: AnswerHead = {
  status: 200,
  isSealed: true,
  isNotRun: false,
  isForeign: false,
  isLeaving: false,
};
