import type { ServerResponse } from 'node:http';
import { formatProblem } from './formatProblem.js';
import type { Problem } from './problem.js';

/** Responds with a problem document; does nothing when the response has started or its connection is closed. */
export const sendProblem = (
  response: ServerResponse,
  problem: Problem,
  requestId?: string,
): void => {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const { status, headers, body } = formatProblem(problem, requestId);
  response.writeHead(status, headers);
  response.end(body);
};
