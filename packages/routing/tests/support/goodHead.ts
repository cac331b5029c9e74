import type { ResponseHead } from '../../src/index.js';

/** The head of a successful response. */
export const GOOD_HEAD: ResponseHead = {
  status: 200,
  isSigned: true,
  isNotRun: false,
  requestMatch: 'own',
  isConnectionNew: false,
  isBodyEncoded: false,
  isLeaving: false,
};
