import { computeFingerprint } from '@parsleyhall/common';
import type { ListedHost } from '../listedHost.js';

interface Ranked {
  readonly listed: ListedHost;
  readonly weight: number;
  /** Place among the hosts of the same pool and data centre. */
  readonly place: number;
}

const groupBy = <Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> => {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
};

const rankWithin = (entry: string, hosts: readonly ListedHost[]): readonly Ranked[] =>
  hosts
    .map((listed) => ({ listed, weight: computeFingerprint(`${entry}\u0000${listed.side}`) }))
    .sort((left, right) => right.weight - left.weight)
    .map((ranked, place) => ({ ...ranked, place }));

const chooseOfPool = (
  entry: string,
  hosts: readonly ListedHost[],
  limit: number,
): readonly ListedHost[] =>
  [...groupBy(hosts, ({ dataCentre }) => dataCentre ?? '').values()]
    .flatMap((sameDataCentre) => rankWithin(entry, sameDataCentre))
    .sort((left, right) => left.place - right.place || right.weight - left.weight)
    .slice(0, limit)
    .map(({ listed }) => listed);

/**
 * The side processes that an entry holds streams to: up to `limit` of each pool, by rendezvous hashing on the entry, taken
 * from the data centres in turn. A change of the list moves only the hosts that changed. Hosts whose pool the list does not
 * tell are all taken, since leaving some out could leave out a whole pool.
 */
export const chooseSubset = (
  entry: string,
  hosts: readonly ListedHost[],
  limit: number,
): readonly ListedHost[] =>
  [...groupBy(hosts, ({ pool }) => pool ?? '')].flatMap(([pool, members]) =>
    pool === '' || members.length <= limit ? members : chooseOfPool(entry, members, limit),
  );
