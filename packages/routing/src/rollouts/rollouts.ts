import type { Map, Set } from 'immutable';
import type { Rollout } from './rollout.js';
import type { StoreRevision } from './storeRevision.js';

/** What an entry knows of roll-outs. */
export interface Rollouts {
  /** By service. */
  readonly byService: Map<string, Rollout>;
  /** The entry may use targets by the records that it has read; see `isInTouch`. */
  readonly wasInTouch: boolean;
  /** The versions that were listed when this entry was last in touch, by service; undefined while it is in touch. */
  readonly keptVersions?: Map<string, Set<string | undefined>>;
  /** Since when the timer has fired without a long break, in milliseconds of the monotonic clock. */
  readonly steadySinceMs: number;
  /** When it last fired. */
  readonly tickedAtMs: number;
  /** How far the status records were read; undefined before the first reading. */
  readonly revision?: StoreRevision;
  /** When the store was first seen to have come back from an older copy; undefined if it has not. */
  readonly eraSinceMs?: number;
  /** When the store last held no newer status records, in milliseconds of the monotonic clock. */
  readonly confirmedAtMs?: number;
}
