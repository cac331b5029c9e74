import type { Observation } from './observation.js';
import type { Violation } from './violation.js';

/** No target, nor two of them, runs a request twice; counted by the targets themselves. */
export const checkDispatchedAtMostOnce = ({ history }: Observation): readonly Violation[] => {
  const seen = new Set<string>();
  return history.facts.flatMap((fact) => {
    if (fact.type !== 'runStarted') {
      return [];
    }
    const names = [`request ${fact.requestId}`];
    if (fact.idempotencyKey === undefined) {
      names.push(`operation ${fact.operation}`);
    }
    const isRepeated = names.some((name) => seen.has(name));
    for (const name of names) {
      seen.add(name);
    }
    return isRepeated
      ? [
          {
            promise: 'dispatchedAtMostOnce',
            atMs: fact.atMs,
            subject: fact.requestId,
            detail: `run again on ${fact.side}`,
          } as const,
        ]
      : [];
  });
};
