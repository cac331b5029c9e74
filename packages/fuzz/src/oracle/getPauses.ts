import type { History } from '../world/history.js';
import type { TimeWindow } from './timeWindow.js';

/** The times during which a process was paused. */
export const getPauses = (history: History, process: string): readonly TimeWindow[] =>
  history.facts.flatMap((fact) =>
    fact.type === 'processPaused' && fact.process === process
      ? [{ fromMs: fact.atMs, untilMs: fact.untilMs }]
      : [],
  );
