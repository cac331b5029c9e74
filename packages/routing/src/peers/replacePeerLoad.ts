import type { Map } from 'immutable';
import type { PeerDigest } from './peerDigest.js';

type InFlight = PeerDigest['inFlight'];

/** Reads own properties only, since a target id may be the name of a property that every object inherits. */
const get = (counts: InFlight, targetId: string): number =>
  Object.hasOwn(counts, targetId) ? (counts[targetId] ?? 0) : 0;

/**
 * Replaces what one other entry contributes to the totals of all other entries, by target id: requests in flight, tokens
 * held, or prompt tokens pending.
 */
export const replacePeerLoad = (
  totalsBefore: Map<string, number>,
  before: InFlight,
  after: InFlight,
): Map<string, number> =>
  totalsBefore.withMutations((totals) => {
    const add = (targetId: string, change: number): void => {
      if (change === 0) {
        return;
      }
      const total = (totals.get(targetId) ?? 0) + change;
      if (total > 0) {
        totals.set(targetId, total);
      } else {
        totals.delete(targetId);
      }
    };
    Object.entries(after).forEach(([targetId, count]) => {
      add(targetId, count - get(before, targetId));
    });
    Object.entries(before).forEach(([targetId, count]) => {
      if (!Object.hasOwn(after, targetId)) {
        add(targetId, -count);
      }
    });
  });
