import type { RecentQuotas } from '../quota/recentQuotas.js';

/** What an entry tells the others of itself, whole each time, so that a lost one costs nothing. */
export interface PeerDigest {
  readonly host: string;
  /** New with each start; a later start has a higher one. */
  readonly incarnation: number;
  /** Higher with each digest of an incarnation. */
  readonly sequence: number;
  /** Requests that each target has from the entry, by target id. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** What the entry took of each team's quota since its start, by team. */
  readonly quotaTaken: Readonly<Record<string, number>>;
  /** As the entry knows it; empty while every entry that is heard knows it too. */
  readonly quotaRecent: RecentQuotas;
  readonly tellsRecent: boolean;
  /** Whether the entry has known all that was taken for a whole window. */
  readonly knowsWindow: boolean;
  /** It serves nothing more after this. */
  readonly isLeaving: boolean;
}
