import type { SentRequest } from '../history/sentRequest.js';
import type { Violation } from './violation.js';

const FIRST_FINAL_STATUS = 200;
const STATUS_LIMIT = 600;

/** Finds responses with a status that no final response can have. */
export const checkStatus = ({ id, status }: SentRequest): readonly Violation[] => {
  if (status === undefined || (status >= FIRST_FINAL_STATUS && status < STATUS_LIMIT)) {
    return [];
  }
  return [{ guarantee: 'invalidStatus', detail: `${id} got a response with status ${status}` }];
};
