import { expect, test } from 'vitest';
import fc from 'fast-check';
import type { HostName, PoolName, SideId } from '@parsleyhall/common';
import type { ListedHost } from '../listedHost.js';
import { chooseSubset } from './chooseSubset.js';

const DATA_CENTRES = ['ebene', 'curepipe', 'rose-hill', 'port-louis'];
const LIMIT = 8;

const newHosts = (count: number): readonly ListedHost[] =>
  Array.from({ length: count }, (_, index) => ({
    host: `host-${String(index)}` as HostName,
    side: `side-${String(index)}` as SideId,
    address: '127.0.0.1:1',
    isLeaving: false,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
    pool: `pool-${String(index % 3)}` as PoolName,
  }));

test('a subset is bounded in each pool, spread over data centres, and moves little when a host goes', () => {
  fc.assert(
    fc.property(fc.integer({ min: 100, max: 400 }), fc.nat(), fc.string(), (count, gone, entry) => {
      const hosts = newHosts(count);
      const subset = chooseSubset(entry, hosts, LIMIT);
      const places = new Map<string, number>();
      for (const { pool, dataCentre } of subset) {
        const place = `${String(pool)}/${String(dataCentre)}`;
        places.set(place, (places.get(place) ?? 0) + 1);
      }
      expect([...places.values()]).toEqual(Array.from({ length: 12 }, () => LIMIT / 4));
      const left = hosts.filter((_, index) => index !== gone % count);
      const after = new Set(chooseSubset(entry, left, LIMIT));
      expect(subset.filter((listed) => !after.has(listed)).length).toBeLessThanOrEqual(1);
    }),
    { seed: 21, numRuns: 200 },
  );
});

test('every side process of a large pool has entries', () => {
  const hosts = newHosts(300);
  const chosen = new Set(
    Array.from({ length: 330 }, (_, index) =>
      chooseSubset(`entry-${String(index)}`, hosts, LIMIT),
    ).flatMap((subset) => subset.map(({ side }) => side)),
  );
  expect(chosen.size).toBe(hosts.length);
});

test('hosts whose pool is not told are all taken', () => {
  const hosts = newHosts(60).map(({ host, side, address, isLeaving }) => ({
    host,
    side,
    address,
    isLeaving,
  }));
  expect(chooseSubset('entry-1', hosts, LIMIT)).toHaveLength(60);
});
