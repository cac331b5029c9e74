import type { Observation } from './observation.js';
import type { Violation } from './violation.js';

/** All attempts with one idempotency key make one run at most; counted by the targets themselves. */
export const checkNonIdempotentAtMostOnce = ({ history }: Observation): readonly Violation[] => {
  const seen = new Set<string>();
  return history.facts.flatMap((fact) => {
    if (fact.type !== 'runStarted' || fact.idempotencyKey === undefined) {
      return [];
    }
    const isRepeated = seen.has(fact.idempotencyKey);
    seen.add(fact.idempotencyKey);
    return isRepeated
      ? [
          {
            promise: 'nonIdempotentAtMostOnce',
            atMs: fact.atMs,
            subject: fact.requestId,
            detail: `key ${fact.idempotencyKey} run again on ${fact.side}`,
          } as const,
        ]
      : [];
  });
};
