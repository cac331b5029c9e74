import type { History } from '../world/history.js';

/** When the process began a life; a new life knows nothing yet. */
export const getStarts = (history: History, process: string): readonly number[] =>
  history.facts.flatMap((fact) =>
    fact.type === 'processStarted' && fact.process === process ? [fact.atMs] : [],
  );
