import type { TeamQuota } from './teamQuota.js';

/** A team as requests are judged by it. */
export interface RoutedTeam {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority where it is given. */
  readonly priority?: number;
  readonly quota?: TeamQuota;
}
