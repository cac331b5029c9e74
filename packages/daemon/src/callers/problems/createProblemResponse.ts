import { formatProblem } from './formatProblem.js';
import { getFailureProblem } from './getFailureProblem.js';
import { getInvalidProblem } from './getInvalidProblem.js';
import { createInvalidRequest } from './createInvalidRequest.js';

const BAD_REQUEST_STATUS = 400;
const LOWEST_SERVER_ERROR_STATUS = 500;

/**
 * Builds the response to an error that h3 reports. After a server error the request may have run, so its outcome is
 * reported as unknown.
 */
export const createProblemResponse = (status: number, detail: string): Response => {
  const isCallerError = status >= BAD_REQUEST_STATUS && status < LOWEST_SERVER_ERROR_STATUS;
  const reason = status === BAD_REQUEST_STATUS ? 'malformedPath' : 'unknownPath';
  const problem = isCallerError
    ? getInvalidProblem(createInvalidRequest(reason, detail))
    : getFailureProblem({ type: 'outcomeUnknown', retryAfterMs: 0 });
  const formatted = formatProblem(problem);
  return new Response(formatted.body, { status: formatted.status, headers: formatted.headers });
};
