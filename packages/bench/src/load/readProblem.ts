import type { Attempt } from './attempt.js';

const NOT_RUN = ':not-run:';
const UNKNOWN = ':outcome-unknown';

/** What a problem document says of a call. */
export const readProblem = (body: string): Pick<Attempt, 'result' | 'reason'> => {
  const type = /"type":"([^"]+)"/.exec(body)?.[1] ?? '';
  const reason = type.split(':').at(-1) ?? '';
  if (type.includes(NOT_RUN)) {
    return { result: 'notRun', reason };
  }
  return { result: type.includes(UNKNOWN) ? 'unknown' : 'invalid', reason };
};
