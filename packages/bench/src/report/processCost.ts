import type { Usage } from './usage.js';

/** What an entry or a side process says it has cost since its start. */
export interface ProcessCost extends Usage {
  readonly process: string;
  readonly role: 'entry' | 'side';
}
