import type { ResponseHead } from '../../src/index.js';

/** The head of the response of a full target, which did not run the request. */
export const NOT_RUN_HEAD: ResponseHead = {
  status: 503,
  isSigned: false,
  isNotRun: true,
  requestMatch: 'own',
  isConnectionNew: false,
  isBodyEncoded: false,
  isLeaving: false,
};
