import type { Observation } from './observation.js';
import type { Violation } from './violation.js';

/** A request whose caller was told "not run", or that its key was refused, never runs: not before nor after. */
export const checkNotRunIsTrue = ({ requests }: Observation): readonly Violation[] =>
  requests.flatMap(({ arrival, failure, runs }) => {
    const [run] = runs;
    if (run === undefined || failure === undefined || failure.type === 'outcomeUnknown') {
      return [];
    }
    return [
      {
        promise: 'notRunIsTrue',
        atMs: run.atMs,
        subject: arrival.requestId,
        detail: `ran on ${run.side}, but the caller was told ${JSON.stringify(failure)}`,
      } as const,
    ];
  });
