import type { Line } from './line.js';

/** Whether a line is about the request: by its caller's id, by the system's, or by `HOST/NUMBER` of an entry. */
export const isAbout = ({ attemptId, requestId, host }: Line, id: string): boolean =>
  attemptId === id || requestId === id || `${host}/${String(requestId)}` === id;
