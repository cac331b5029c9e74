import type { Run } from './run.js';

/** Whether the target still works on the run. */
export const isRunActive = (run: Run): boolean =>
  run.phase === 'resuming' || run.phase === 'running';
