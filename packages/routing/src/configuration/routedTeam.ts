import type { TeamQuota } from './teamQuota.js';

/** A team: its keys, priority and quota. */
export interface RoutedTeam {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's priority if set; 0 is the highest. */
  readonly priority?: number;
  readonly quota?: TeamQuota;
}
