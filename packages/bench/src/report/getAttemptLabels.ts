import type { CallOutcome } from '../load/callOutcome.js';

/** The callers' marks of all attempts of a call, in order. */
export const getAttemptLabels = ({ call, attempts }: CallOutcome): readonly string[] =>
  Array.from({ length: attempts }, (_, place) =>
    place === 0 ? call.label : `${call.label}/${place + 1}`,
  );
