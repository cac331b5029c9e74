import { expect, test } from 'vitest';
import fc from 'fast-check';
import { OrderedIndex } from './orderedIndex.js';

test('an ordered index sorts its members by rank, and a change leaves earlier versions as they were', () => {
  fc.assert(
    fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 20 }), fc.string())), (members) => {
      const byId = new Map(members.map(([rank, id]) => [id, rank]));
      const start = OrderedIndex.empty<string>();
      const full = [...byId].reduce((index, [id, rank]) => index.with(rank, id), start);
      const ranks = [...full.values()].map(({ rank }) => rank);
      expect(ranks).toEqual([...byId.values()].sort((left, right) => left - right));
      expect(full.first()?.rank).toBe(ranks.at(0));
      expect(full.last()?.rank).toBe(ranks.at(-1));
      expect(start.size).toBe(0);
      const emptied = [...byId].reduce((index, [id, rank]) => index.without(rank, id), full);
      expect(emptied.size).toBe(0);
      expect(full.size).toBe(byId.size);
    }),
    { seed: 1, numRuns: 200 },
  );
});
