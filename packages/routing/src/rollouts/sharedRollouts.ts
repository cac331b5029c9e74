import type { RolloutReport } from './rolloutReport.js';

/** What an entry tells the others about roll-outs. */
export interface SharedRollouts {
  /** The entry has read the status records within the lease and can write them. */
  readonly reachesStore: boolean;
  /** Hosts of entries that the entry knows and does not hear; at most `MAX_UNHEARD_HOSTS`. */
  readonly unheard?: readonly string[];
  readonly reports: readonly RolloutReport[];
}
