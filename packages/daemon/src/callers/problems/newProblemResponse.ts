import { formatProblem } from './formatProblem.js';
import { getFailureProblem } from './getFailureProblem.js';
import { getInvalidProblem } from './getInvalidProblem.js';
import { newInvalidRequest } from './newInvalidRequest.js';

const BAD_REQUEST = 400;
const SERVER_ERROR = 500;

/** The answer to what the HTTP library refuses before any handler; what it cannot explain may have run. */
export const newProblemResponse = (status: number, detail: string): Response => {
  const isCallers = status >= BAD_REQUEST && status < SERVER_ERROR;
  const reason = status === BAD_REQUEST ? 'malformedPath' : 'unknownPath';
  const problem = isCallers
    ? getInvalidProblem(newInvalidRequest(reason, detail))
    : getFailureProblem({ type: 'outcomeUnknown', retryAfterMs: 0 });
  const formatted = formatProblem(problem);
  return new Response(formatted.body, { status: formatted.status, headers: formatted.headers });
};
