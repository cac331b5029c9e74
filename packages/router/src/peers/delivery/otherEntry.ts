import type { Sender } from '../codec/sender.js';
import type { Reception } from './reception.js';

/** Another entry as the exchange of digests knows it. */
export interface OtherEntry extends Sender {
  /** Stands for its host in what entries state about each other. */
  readonly hostHash: number;
  /** When the first frame of this incarnation arrived. */
  readonly foundAtMs: number;
  readonly reception: Reception;
  /** Until then this entry asks for direct sends from it. */
  readonly directNeededUntilMs: number;
  /** It asks for direct sends from this entry. */
  readonly wantsDirect: boolean;
  /**
   * Hashes of the hosts from which it asks for direct sends, and of those in its own data centre whose frames do not reach
   * it.
   */
  readonly unheardHashes: readonly number[];
  readonly isLeaving: boolean;
}
