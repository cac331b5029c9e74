import type { ParsedLogLine } from './parsedLogLine.js';

/** Whether a line has the id as the caller's attempt id, as the request id, or as `HOST/NUMBER` of an entry. */
export const isAboutRequest = (
  { attemptId, requestId, host }: ParsedLogLine,
  id: string,
): boolean => attemptId === id || requestId === id || `${host}/${String(requestId)}` === id;
