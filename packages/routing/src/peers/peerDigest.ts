import type { SharedLimit } from '../limits/sharedLimit.js';
import type { PromptReport } from '../quarantine/promptReport.js';
import type { SharedRollouts } from '../rollouts/sharedRollouts.js';
import type { RecentQuotas } from '../quota/recentQuotas.js';

/** What an entry reports to the others. Each digest is complete, so that a lost one does no harm. */
export interface PeerDigest {
  readonly host: string;
  /** Identifies one start of the entry; higher with each start. */
  readonly incarnation: number;
  /** Increases with each digest of an incarnation. */
  readonly sequence: number;
  /** The version of the configuration that is in force at the entry; 0 before the first one. */
  readonly configurationVersion: number;
  /** Requests of the entry in flight at each target, by target id. */
  readonly inFlight: Readonly<Record<string, number>>;
  /**
   * Tokens that the entry's requests hold, or are about to hold, at each target whose memory is limited, by target id; left
   * out while there are none.
   */
  readonly heldTokens?: Readonly<Record<string, number>>;
  /**
   * Prompt tokens of the entry's requests whose responses have not started, at each target that reports its load, by target
   * id; left out while there are none.
   */
  readonly pendingTokens?: Readonly<Record<string, number>>;
  /** The entry's usage of each team's quota since its start, by team. */
  readonly quotaTaken: Readonly<Record<string, number>>;
  /** The recent usage of all entries as this one knows it; empty while every live entry knows the window. */
  readonly quotaRecent: RecentQuotas;
  /** Whether `quotaRecent` is filled in. */
  readonly tellsRecent: boolean;
  /** Whether the entry knows all usage of the latest window. */
  readonly knowsWindow: boolean;
  /** Limits that targets stated to the entry; left out while there are none. */
  readonly targetLimits?: readonly SharedLimit[];
  /** News about prompt parts that crash targets; left out while there is none. */
  readonly promptReport?: PromptReport;
  /** Roll-outs of versions; left out while there is nothing to tell. */
  readonly rollouts?: SharedRollouts;
  /** The entry is shutting down and admits nothing more after this digest. */
  readonly isLeaving: boolean;
}
